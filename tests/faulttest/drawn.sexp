; Random faults that overlap. When all are repaired, all fronts agree.
(rig (fronts 7) (seed 4) (fleet (pace 200ms) (time-out 80ms))
  (step (fault start) (until agreed))
  (step (fault drawn) (count 14)))
