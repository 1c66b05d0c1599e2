; Who keeps which group follows the view: each store is probed at the pace of one keeper, of two while halves are cut
; apart, and no more when they meet again, when keepers die, and when they come back. Discovery is asked as ever.
(rig (fronts 8) (fleet (pace 200ms) (time-out 80ms) (accord (pace 200ms) (grace 500ms) (silence 2s)))
  (stores (count 6) (groups 2)) (rules (slack 1s)) (clients (rate 40))
  (step (fault start) (until agreed))
  (step (fault none) (lasts 2s) (until accord))
  (step (fault none) (lasts 3s) (probes-at-most 8) (calls-at-most 12))
  (step (fault cut) (fronts "0-3") (to "4-7") (lasts 5s) (acked 0.8) (probes-at-most 16) (calls-at-most 12))
  (step (fault heal) (lasts 3s) (probes-at-most 16) (calls-at-most 12))
  (step (fault none) (until accord))
  (step (fault none) (lasts 2s) (probes-at-most 8))
  (step (fault kill) (fronts "0-2") (lasts 3s) (probes-at-most 12))
  (step (fault start) (fronts "0-2") (until agreed))
  (step (fault none) (lasts 2s) (until accord) (probes-at-most 12)))
