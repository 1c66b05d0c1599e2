// Parses an endpoint list in discovery's JSON form while its bytes arrive, one server at a time: the document
// is never held in memory as a whole. Does no I/O.
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

// Maximum number of bytes between the ends of two servers in the list: over three hundred times the size of a
// server in the protocol's example.
constexpr std::size_t kMaxTargetBytes = 64 * 1024;
// Maximum nesting of objects and arrays, including fields that the protocol does not define.
constexpr int kMaxDepth = 32;

class ListReader {
 public:
  struct Head {
    std::optional<long long> revision;
    std::optional<bool> complete;  // a full list, not changes to one
  };
  // Called for each server as soon as its last byte has been read, with those fields of the head that precede
  // it in the document.
  using RowCallback = std::function<void(net::ListedEndpoint, const Head&)>;

  ListReader(const config::NameTable& names, RowCallback on_row);
  ~ListReader();
  ListReader(const ListReader&) = delete;

  // Parses the next bytes. Throws InvalidInput, which names the faulty field; the reader must not be used
  // after that.
  void read(std::string_view bytes);
  // Ends the list and returns its head. Throws InvalidInput if the document is incomplete.
  Head finish();

 private:
  class Document;
  std::unique_ptr<Document> document_;
};

// Parses a list that is in memory as a whole. Throws InvalidInput, in which case no part of the list is used.
net::EndpointList parse_endpoint_list(std::string_view json, const config::NameTable& names);

}  // namespace reedspindle::discovery
