// Saves states to a store on a thread of its own, so that a slow disk blocks nobody. Of the states that wait
// only the newest is saved.
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
  // Called on the writer's thread after each state, with the disk's error; empty: it was saved.
  using OnSaved = std::function<void(std::string fault)>;

  SnapshotWriter(SnapshotStore& store, OnSaved on_saved)
      : store_(store), on_saved_(std::move(on_saved)), thread_([this] { run(); }) {}
  // Saves the state that waits, and stops. The store has to outlive the writer.
  ~SnapshotWriter() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
  }
  SnapshotWriter(const SnapshotWriter&) = delete;

  void save(std::string state) {
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
      } catch (const DiskError& reported) {
        fault = reported.what();
      }
      on_saved_(std::move(fault));
      lock.lock();
    }
  }

  SnapshotStore& store_;
  const OnSaved on_saved_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::optional<std::string> next_;
  bool stopping_ = false;
  std::thread thread_;  // last: it uses all of the above
};

}  // namespace reedspindle::snapshot
