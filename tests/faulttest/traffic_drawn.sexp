; Random faults of fronts, stores, discovery and all links, which overlap while clients send ops; then all are repaired.
; No invariant may be violated, and service recovers fully.
(rig (fronts 4) (seed 11) (fleet (pace 200ms) (time-out 80ms)) (stores (count 6) (groups 2)) (rules (slack 1s)) (clients (rate 60))
  (step (fault start) (until agreed))
  (step (fault drawn) (count 20))
  (step (fault none) (lasts 2s) (acked 0.8)))
