// Keeps states in a store by a thread of its own, so that a disk that takes its time holds nobody up. Of the
// states that wait only the newest is kept.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "snapshot/snapshot_store.hpp"

namespace reedspindle::snapshot {

class SnapshotWriter {
 public:
  // Called on the keeper's thread after each state: an empty text, or what the disk reported.
  using Done = std::function<void(std::string fault)>;

  SnapshotWriter(Store& store, Done done)
      : store_(store), done_(std::move(done)), thread_([this] { run(); }) {}
  // What waits is still kept.
  ~SnapshotWriter() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
  }
  SnapshotWriter(const SnapshotWriter&) = delete;

  void keep(std::string state) {
    {
      const std::lock_guard lock(mutex_);
      next_ = std::move(state);
    }
    wake_.notify_one();
  }

 private:
  void run() {
    std::unique_lock lock(mutex_);
    for (;;) {
      wake_.wait(lock, [this] { return next_ || stopping_; });
      if (!next_) {
        return;
      }
      const std::string state = *std::exchange(next_, std::nullopt);
      lock.unlock();
      std::string fault;
      try {
        store_.save(state);
      } catch (const DiskFault& reported) {
        fault = reported.what();
      }
      done_(std::move(fault));
      lock.lock();
    }
  }

  Store& store_;
  const Done done_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::optional<std::string> next_;
  bool stopping_ = false;
  std::thread thread_;  // last: it uses all of the above
};

}  // namespace reedspindle::snapshot
