; One connection per front and store, so ops wait for it. A front that opened more would be noticed at once (with a
; limit of 1,000 the same ops use up to eleven).
(rig (fronts 5) (fleet (pace 200ms) (time-out 80ms) (shares (connections 5) (lease 1s) (evidence 500ms) (notice 250ms) (kept 1)))
  (stores (count 4) (groups 1) (work 50ms) (workers 32)) (rules (slack 1s)) (clients (rate 80))
  (step (fault start) (until agreed) (part-at-least 1))
  (step (fault none) (lasts 4s) (acked 0.8)))
