; All stores fail most ops. Resends are taken from the fleet's token bucket, which allows one per five first sends and a
; burst, so the stores get only few more sends than there are ops.
(rig (fronts 4) (fleet (pace 200ms) (time-out 80ms) (resends (share 0.2) (burst 20)))
  (stores (count 4) (groups 1)) (rules (slack 1s)) (clients (rate 100))
  (step (fault start) (until agreed))
  (step (fault none) (lasts 2s) (acked 0.9))
  (step (fault errors) (stores "0-3") (share 0.9) (lasts 4s) (sends-at-most 1.35))
  (step (fault recover) (stores "0-3") (lasts 1s))
  (step (fault none) (lasts 2s) (acked 0.9)))
