; The connection quota of dead fronts is used by the live ones and returned to them when they restart. The run fails
; when a store has more connections at any check than the limit for all fronts together.
(rig (fronts 5) (fleet (pace 200ms) (time-out 80ms) (shares (connections 20) (lease 1s) (evidence 500ms) (notice 250ms)))
  (stores (count 4) (groups 1) (work 20ms) (workers 32)) (rules (slack 1s)) (clients (rate 80))
  (step (fault start) (until agreed) (part-at-least 1))
  (step (fault none) (lasts 2s) (acked 0.8))
  (step (fault kill) (fronts "3,4") (lasts 4s))
  (step (fault none) (lasts 3s) (acked 0.8))
  (step (fault start) (fronts "3,4") (until agreed) (part-at-least 1))
  (step (fault none) (lasts 2s) (acked 0.8))
  ; Three of five die: without a majority no quota grows, and the remaining two keep their own.
  (step (fault kill) (fronts "2-4") (lasts 3s) (part-at-least 1))
  (step (fault start) (fronts "2-4") (until agreed) (part-at-least 1)))
