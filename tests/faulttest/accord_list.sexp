; The discovery of one front falls silent while a store drains. The front reports that its list is behind, learns from
; its peers that the store is leaving, and sends nothing to it; discovery's own answer ends this state. A front that
; can't reach a new primary learns of it from its peers and differs in nothing.
(rig (fronts 5) (fleet (pace 200ms) (time-out 80ms) (accord (pace 200ms) (grace 500ms) (silence 2s)))
  (stores (count 4) (groups 1)) (rules (slack 1s)) (clients (rate 60))
  (step (fault start) (until agreed))
  (step (fault none) (lasts 1s) (until accord))
  (step (fault discovery-silent) (fronts "1"))
  (step (fault drain) (stores "3") (lasts 1s) (until differs) (of "0-4") (in list) (within 5s))
  (step (fault none) (lasts 3s))
  (step (fault none) (lasts 3s) (spared "3"))
  (step (fault discovery-speaks) (fronts "1") (until accord) (within 10s))
  (step (fault enlist) (stores "3") (until accord))
  (step (fault cut) (fronts "2") (stores "0-3") (lasts 500ms))
  (step (fault promote) (stores "1") (lasts 1s) (until accord) (within 5s))
  (step (fault heal) (lasts 2s) (until accord) (acked 0.7)))
