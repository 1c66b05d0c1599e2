; Guards against a drain that is heard of after the grace: discovery's agent fails in each way, servers drain, it comes back.
(rig (fronts 8) (fleet (pace 500ms)) (stores (count 8) (groups 1)) (clients (rate 400) (sessions 64))
  (rules (slack 500ms) (drain-grace 500ms) (drain-slack 50ms) (told agent))
  (step (fault start) (until agreed))
  ; At rest each front calls 1,000 / 113 times a second.
  (step (lasts 2s) (calls-at-most 72))
  (step (fault drawn-outages) (count 8) (by 3s)))
