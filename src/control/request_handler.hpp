// Applies a client's request to the state of its stream.
#pragma once

#include "control/client_stream.hpp"
#include "control/version_text.hpp"

namespace reedspindle::control {

// Created for one request; the arguments must outlive it.
class RequestHandler {
 public:
  // `snapshot` is the one for the stream's capabilities, or null if none is ready.
  RequestHandler(const StreamContext& context, StreamId id, ClientStream& stream,
                 const ResourceSnapshot* snapshot, Millis now)
      : context_(context), id_(id), stream_(stream), snapshot_(snapshot), now_(now) {}

  // Handles the acknowledgement or rejection in the request and the changes of subscriptions. A request that
  // exceeds the bounds sets the stream's close_reason.
  void handle(const SubscriptionRequest& request);

 private:
  bool check_names(const SubscriptionRequest& request);
  bool handle_nonce(TypeSubscription& subscription, const SubscriptionRequest& request);
  void acknowledge(TypeSubscription& subscription, const SubscriptionRequest& request);
  static void record_answer(TypeSubscription& subscription, const PendingResponse& response, bool accepted);
  void check_response_delay(Millis delay);
  void note_known_version(const Version& version);
  void import_known_versions(TypeSubscription& subscription, const SubscriptionRequest& request);
  void subscribe(TypeSubscription& subscription, const SubscriptionRequest& request);
  void replace_names(TypeSubscription& subscription, const SubscriptionRequest& request, bool first);
  void change_names(TypeSubscription& subscription, const SubscriptionRequest& request, bool first);

  const StreamContext context_;
  const StreamId id_;
  ClientStream& stream_;
  const ResourceSnapshot* snapshot_;
  const Millis now_;
};

}  // namespace reedspindle::control
