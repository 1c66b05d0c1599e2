// Reads a list in discovery's form as its bytes come, a server at a time: the document is never in memory as
// a whole. Free of I/O.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "config/instance_config.hpp"
#include "net/endpoint_list.hpp"

namespace reedspindle::discovery {

using net::ListedEndpoint, net::EndpointList;

// Bytes from one server's end to the next: over three hundred times what a server takes in the protocol's
// example.
constexpr std::size_t kMaxTargetBytes = 64 * 1024;
// Objects and arrays inside one another, in what discovery may say beyond the protocol.
constexpr int kMaxDepth = 32;

class ListReader {
 public:
  struct Head {
    std::optional<long long> revision;
    std::optional<bool> whole;
  };
  // Called for each server as soon as its last byte is read, with as much of the list's head as stood before
  // it.
  using Row = std::function<void(net::ListedEndpoint, const Head&)>;

  ListReader(const config::NameTable& names, Row row);
  ~ListReader();
  ListReader(const ListReader&) = delete;

  // Throws InvalidInput, which names what is faulty; nothing more is to be read then.
  void read(std::string_view bytes);
  // The list has ended. Throws InvalidInput where it is not whole.
  Head finish();

 private:
  class Document;
  std::unique_ptr<Document> document_;
};

// The whole of a list that is at hand. Throws InvalidInput; nothing of such a list counts.
net::EndpointList parse_endpoint_list(std::string_view json, const config::NameTable& names);

}  // namespace reedspindle::discovery
