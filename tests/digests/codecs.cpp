// Writes drawn messages of the membership, the shares, the accord and the samples, reads them whole, mutated
// and cut, and prints a digest of the bytes and of what was read.
#include <algorithm>
#include <optional>

#include "consistency/message.hpp"
#include "digest.hpp"
#include "membership/message.hpp"
#include "quota/message.hpp"
#include "routing/replica_samples.hpp"

namespace {
using namespace reedspindle;

constexpr int kMessages = 2500;  // of each kind

class Sequence {
 public:
  Sequence(unsigned seed, bool prints) : draws_(seed), digest_(prints) {}
  std::string play() {
    for (int number = 0; number < kMessages; ++number) {
      play(membership_bytes());
      play(shares_bytes());
      play(accord_bytes());
      samples();
    }
    for (int number = 0; number < kMessages; ++number) {
      const char letter[] = {'M', 'm', 'S', 's', 'A', 'a', '{', '1'};
      std::string bytes(1, letter[draws_.below(8)]);
      bytes += draws_.bytes(draws_.below(20));
      read(bytes);
    }
    return digest_.text();
  }

 private:
  std::uint32_t number(int below) { return static_cast<std::uint32_t>(draws_.below(below)); }
  int place() { return draws_.one_in(9) ? draws_.below(70000) : draws_.below(30); }
  std::string name() {
    std::string name = fmt::format("front-{}", draws_.below(100));
    if (draws_.one_in(10)) {
      name += std::string(static_cast<std::size_t>(draws_.below(40)), 'x');
    }
    return name;
  }

  std::string membership_bytes() {
    membership::Message message;
    message.kind = static_cast<membership::Kind>(draws_.below(7));
    message.sequence = number(2000000000);
    message.name = name();
    message.slot = {place()};
    message.incarnation = {1767225600000U + number(100000)};
    message.started_at = 1767225600000U + number(100000);
    message.leaving = draws_.one_in(4);
    message.is_reply = draws_.one_in(4);
    message.target = {place()};
    message.range = {draws_.below(4), number(4096)};
    if (message.kind == membership::Kind::digest) {
      for (int part = 0; part < membership::kDigestFanOut; ++part) {
        message.digests.push_back(number(2000000000));
      }
    }
    const int words = draws_.below(12);
    for (int update = 0; update < words; ++update) {
      membership::GossipUpdate one;
      one.name = name();
      one.slot = {place()};
      one.state = static_cast<membership::PeerState>(draws_.below(4));
      one.incarnation = {1767225600000U + number(100000)};
      one.suspected_by = {draws_.between(-1, 20)};
      message.updates.push_back(one);
    }
    std::size_t told = 0;
    const std::string bytes = membership::encode(message, told);
    digest_.add(fmt::format("told {} of {}", told, words));
    return bytes;
  }
  std::string shares_bytes() {
    quota::Message message;
    message.kind = static_cast<quota::Kind>(draws_.below(7));
    message.number = number(2000000000);
    message.in_reply_to = number(2000000000);
    message.slot = {place()};
    message.incarnation = {number(2000000000)};
    message.options_hash = number(2000000000);
    message.is_holder = draws_.one_in(2);
    message.granted = draws_.one_in(2);
    message.warming_up = draws_.one_in(2);
    message.restores_slot = draws_.one_in(2);
    message.shortage = draws_.one_in(2);
    message.wanted = draws_.below(9000);
    message.lent = draws_.below(9000);
    message.amount = draws_.below(9000);
    message.valid_for = 0.25 * draws_.below(9000);
    return quota::encode(message);
  }
  std::string accord_bytes() {
    consistency::Message message;
    message.kind = static_cast<consistency::Kind>(draws_.below(4));
    message.number = number(2000000000);
    message.slot = {place()};
    for (std::uint32_t& sum : message.digest.sums) {
      sum = number(2000000000);
    }
    message.digest.revision = number(1000000);
    message.discovery_age = draws_.one_in(2) ? -1 : draws_.below(90000);
    const int marks = draws_.one_in(3) ? draws_.below(41) : 0;
    for (int mark = 0; mark < marks; ++mark) {
      message.marks.push_back(number(1 << 24));
    }
    return consistency::encode(message);
  }

  void play(const std::string& bytes) {
    digest_.add(digests::hex(bytes));
    read(bytes);
    read(draws_.mutated(bytes));
    read(bytes.substr(0, static_cast<std::size_t>(draws_.below(static_cast<int>(bytes.size())))));
  }
  void read(const std::string& bytes) {
    digest_.comment(digests::hex(bytes));
    digest_.add(fmt::format("for {} {} {}", membership::is_membership_message(bytes),
                            quota::is_quota_message(bytes), consistency::is_consistency_message(bytes)));
    const auto fellow = membership::decode(bytes);
    if (fellow) {
      add(*fellow);
    }
    const auto share = quota::decode(bytes);
    if (share) {
      add(*share);
    }
    const auto question = quota::decode_liveness_query(bytes);
    if (question) {
      digest_.add(fmt::format("question {}", *question));
    }
    const auto account = consistency::decode(bytes);
    if (account) {
      add(*account);
    }
  }
  void add(const membership::Message& message) {
    digest_.add(fmt::format("{} {} {} {} {} {} {} {} {} {}/{}", static_cast<int>(message.kind),
                            message.sequence, message.name, message.slot.number, message.incarnation.number,
                            message.started_at, message.leaving, message.is_reply, message.target.number,
                            message.range.depth, message.range.prefix));
    for (const std::uint32_t sum : message.digests) {
      digest_.add(fmt::format("sum {}", sum));
    }
    for (const membership::GossipUpdate& update : message.updates) {
      digest_.add(fmt::format("word {} {} {} {} {}", update.name, update.slot.number,
                              static_cast<int>(update.state), update.incarnation.number,
                              update.suspected_by.number));
    }
  }
  void add(const quota::Message& message) {
    digest_.add(fmt::format("{} {} {} {} {} {} {}{}{}{}{} {} {} {} {:.3f}", static_cast<int>(message.kind),
                            message.number, message.in_reply_to, message.slot.number,
                            message.incarnation.number, message.options_hash, message.is_holder,
                            message.granted, message.warming_up, message.restores_slot, message.shortage,
                            message.wanted, message.lent, message.amount, message.valid_for));
  }
  void add(const consistency::Message& message) {
    digest_.add(fmt::format("{} {} {} {} {} {} {} {:.3f}", static_cast<int>(message.kind), message.number,
                            message.slot.number, message.digest.sums[0], message.digest.sums[1],
                            message.digest.sums[2], message.digest.revision, message.discovery_age));
    for (const std::uint32_t mark : message.marks) {
      digest_.add(fmt::format("mark {}", mark));
    }
  }

  void samples() {
    const Millis now = 1767225600000 + draws_.below(1000000);
    std::vector<GossipedSample> told;
    const int count = draws_.below(45);
    for (int sample = 0; sample < count; ++sample) {
      GossipedSample one;
      one.address_hash = hash_address({fmt::format("m{}", draws_.below(1000))});
      one.sample.role = static_cast<Role>(draws_.below(3));
      one.sample.position = draws_.one_in(5) ? -1 : now - draws_.below(9000);
      one.sample.utilization = draws_.one_in(5) ? -1 : 0.01 * draws_.below(101);
      told.push_back(one);
    }
    const std::string text = encode_samples(now, told);
    digest_.add(text);
    add(decode_samples(text, now + draws_.below(100)));
    const std::string mutated = draws_.mutated(text);
    add(decode_samples(mutated, now + draws_.below(100)));
  }
  void add(const std::optional<SampleGossip>& read) {
    if (!read) {
      return digest_.add("no samples");
    }
    digest_.add(fmt::format("samples of {:.3f}", read->sent_at));
    for (const GossipedSample& one : read->samples) {
      digest_.add(fmt::format("{} {} {:.3f} {:.3f}", one.address_hash, static_cast<int>(one.sample.role),
                              one.sample.position, one.sample.utilization));
    }
  }

  digests::Draws draws_;
  digests::Digest digest_;
};

}  // namespace

int main(int count, char** words) { digests::play_seeds<Sequence>(count, words, 4); }
