; Which front probes which group follows from the membership view. Each store is probed at the rate of one prober, of
; two while the fleet is split into halves, and at no higher rate when the halves rejoin, when probers die and when
; they return. The rate of calls to discovery does not change; with this grace, discovery is polled as seldom as can be.
(rig (fronts 8) (fleet (pace 200ms) (time-out 80ms) (accord (pace 200ms) (grace 500ms) (silence 2s)))
  (stores (count 6) (groups 2)) (rules (slack 1s) (drain-grace 6160ms)) (clients (rate 40))
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
