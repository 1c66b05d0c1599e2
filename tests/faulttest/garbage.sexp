; Floods of malformed datagrams and of replayed old ones. No front is declared failed, and no dead one is seen alive.
(rig (fronts 6) (fleet (pace 200ms) (time-out 80ms))
  (step (fault start) (until agreed))
  (step (fault garbage) (fronts "0-5") (to "1") (count 2000) (lasts 2s) (until agreed) (none-failed "0-5"))
  (step (fault kill) (fronts "3") (until failed) (of "3"))
  (step (fault replay) (fronts "0-2,4-5") (to "3") (lasts 2s) (until failed) (of "3"))
  (step (fault replay) (fronts "0-2,4-5") (to "0") (lasts 1s) (until failed) (of "3") (none-failed "0-2,4-5"))
  (step (fault start) (fronts "3") (until agreed)))
