// Encodes random messages of the membership, quota and consistency protocols and random gossiped samples,
// decodes them whole, mutated and cut off, and prints a digest of the bytes and of what was decoded.
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
  Sequence(unsigned seed, bool print_lines) : random_(seed), digest_(print_lines) {}
  std::string play() {
    for (int number = 0; number < kMessages; ++number) {
      add_message(membership_bytes());
      add_message(quota_bytes());
      add_message(consistency_bytes());
      add_samples();
    }
    for (int number = 0; number < kMessages; ++number) {
      const char first_bytes[] = {'M', 'm', 'S', 's', 'A', 'a', '{', '1'};
      std::string bytes(1, first_bytes[random_.below(8)]);
      bytes += random_.bytes(random_.below(20));
      decode_all(bytes);
    }
    return digest_.text();
  }

 private:
  std::uint32_t random_number(int below) { return static_cast<std::uint32_t>(random_.below(below)); }
  int random_slot() { return random_.one_in(9) ? random_.below(70000) : random_.below(30); }
  std::string random_name() {
    std::string name = fmt::format("front-{}", random_.below(100));
    if (random_.one_in(10)) {
      name += std::string(static_cast<std::size_t>(random_.below(40)), 'x');
    }
    return name;
  }

  std::string membership_bytes() {
    membership::Message message;
    message.kind = static_cast<membership::Kind>(random_.below(7));
    message.sequence = random_number(2000000000);
    message.name = random_name();
    message.slot = {random_slot()};
    message.incarnation = {1767225600000U + random_number(100000)};
    message.started_at = 1767225600000U + random_number(100000);
    message.leaving = random_.one_in(4);
    message.is_reply = random_.one_in(4);
    message.target = {random_slot()};
    message.range = {random_.below(4), random_number(4096)};
    if (message.kind == membership::Kind::digest) {
      for (int part = 0; part < membership::kDigestFanOut; ++part) {
        message.digests.push_back(random_number(2000000000));
      }
    }
    const int update_count = random_.below(12);
    for (int update = 0; update < update_count; ++update) {
      membership::GossipUpdate one;
      one.name = random_name();
      one.slot = {random_slot()};
      one.state = static_cast<membership::PeerState>(random_.below(4));
      one.incarnation = {1767225600000U + random_number(100000)};
      one.suspected_by = {random_.between(-1, 20)};
      message.updates.push_back(one);
    }
    std::size_t encoded_updates = 0;
    const std::string bytes = membership::encode(message, encoded_updates);
    digest_.add(fmt::format("told {} of {}", encoded_updates, update_count));
    return bytes;
  }
  std::string quota_bytes() {
    quota::Message message;
    message.kind = static_cast<quota::Kind>(random_.below(7));
    message.number = random_number(2000000000);
    message.in_reply_to = random_number(2000000000);
    message.slot = {random_slot()};
    message.incarnation = {random_number(2000000000)};
    message.options_hash = random_number(2000000000);
    message.is_holder = random_.one_in(2);
    message.granted = random_.one_in(2);
    message.warming_up = random_.one_in(2);
    message.restores_slot = random_.one_in(2);
    message.shortage = random_.one_in(2);
    message.wanted = random_.below(9000);
    message.lent = random_.below(9000);
    message.amount = random_.below(9000);
    message.valid_for = 0.25 * random_.below(9000);
    return quota::encode(message);
  }
  std::string consistency_bytes() {
    consistency::Message message;
    message.kind = static_cast<consistency::Kind>(random_.below(4));
    message.number = random_number(2000000000);
    message.slot = {random_slot()};
    for (std::uint32_t& sum : message.digest.sums) {
      sum = random_number(2000000000);
    }
    message.digest.revision = random_number(1000000);
    message.discovery_age = random_.one_in(2) ? -1 : random_.below(90000);
    const int marks = random_.one_in(3) ? random_.below(41) : 0;
    for (int mark = 0; mark < marks; ++mark) {
      message.marks.push_back(random_number(1 << 24));
    }
    return consistency::encode(message);
  }

  // Decodes a message whole, mutated and cut off.
  void add_message(const std::string& bytes) {
    digest_.add(digests::hex(bytes));
    decode_all(bytes);
    decode_all(random_.mutated(bytes));
    decode_all(bytes.substr(0, static_cast<std::size_t>(random_.below(static_cast<int>(bytes.size())))));
  }
  // Lets each protocol decode the bytes, and adds what it read.
  void decode_all(const std::string& bytes) {
    digest_.comment(digests::hex(bytes));
    digest_.add(fmt::format("for {} {} {}", membership::is_membership_message(bytes),
                            quota::is_quota_message(bytes), consistency::is_consistency_message(bytes)));
    const auto membership_message = membership::decode(bytes);
    if (membership_message) {
      add(*membership_message);
    }
    const auto quota_message = quota::decode(bytes);
    if (quota_message) {
      add(*quota_message);
    }
    const auto liveness_query = quota::decode_liveness_query(bytes);
    if (liveness_query) {
      digest_.add(fmt::format("question {}", *liveness_query));
    }
    const auto consistency_message = consistency::decode(bytes);
    if (consistency_message) {
      add(*consistency_message);
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

  // Encodes random samples and decodes them whole and mutated.
  void add_samples() {
    const Millis now = 1767225600000 + random_.below(1000000);
    std::vector<GossipedSample> samples;
    const int count = random_.below(45);
    for (int sample = 0; sample < count; ++sample) {
      GossipedSample one;
      one.address_hash = hash_address({fmt::format("m{}", random_.below(1000))});
      one.sample.role = static_cast<Role>(random_.below(3));
      one.sample.position = random_.one_in(5) ? -1 : now - random_.below(9000);
      one.sample.utilization = random_.one_in(5) ? -1 : 0.01 * random_.below(101);
      samples.push_back(one);
    }
    const std::string text = encode_samples(now, samples);
    digest_.add(text);
    add(decode_samples(text, now + random_.below(100)));
    const std::string mutated = random_.mutated(text);
    add(decode_samples(mutated, now + random_.below(100)));
  }
  void add(const std::optional<SampleGossip>& gossip) {
    if (!gossip) {
      return digest_.add("no samples");
    }
    digest_.add(fmt::format("samples of {:.3f}", gossip->sent_at));
    for (const GossipedSample& one : gossip->samples) {
      digest_.add(fmt::format("{} {} {:.3f} {:.3f}", one.address_hash, static_cast<int>(one.sample.role),
                              one.sample.position, one.sample.utilization));
    }
  }

  digests::RandomSource random_;
  digests::Digest digest_;
};

}  // namespace

int main(int argument_count, char** arguments) { digests::run_seeds<Sequence>(argument_count, arguments, 4); }
