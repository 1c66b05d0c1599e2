/* The office of shares and the one slot of front 2: no two may hold the office at once, and the slot is used by
 * one at most. Times are ticks of one clock; datagrams may be late by any time, come in any order, or not at all.
 * Left out: the drift of clocks (the program's margins are for it), parts of a slot (here it is handed out whole),
 * lending (as evidence, dated by an answer instead of a question), and the hints of the membership.
 * -DMUTANT=n breaks one rule each; every mutant has to be found: models/check.sh. */
#ifndef MUTANT
#define MUTANT 0
#endif
/* 1: the office alone, two stand for it. 2: the slot, one stands. 3: both, nobody crashes, and nobody listens at 2
 * from the start on. */
#ifndef PART
#define PART 1
#endif
#define SLOT (PART != 1)
#if PART == 2
#define STANDS(x) x = 0
#else
#define STANDS(x) if :: x = 0 :: x = 1 fi
#endif
#define N 3
#define L 2 /* lease */
#define H 1 /* how long evidence counts */
#ifndef END
#define END 10
#endif
#ifndef CRASHES
#define CRASHES 1
#endif

byte tick = 4; /* so that what is long ago can be told from never */
byte votes_from[N], bound_to[N], bound_until[N], bound_life[N], life[N];
byte office[N];             /* until when it holds the office, by its own reckoning */
byte bid_at[N], yes[N];     /* its bid under way: when it was sent, who has said yes (bits) */
byte empty_at[N];           /* as who holds the office: when nobody listened at 2, as far as is known */
byte given[N * N];          /* as who holds the office: until when each may use the slot */
byte asked_at[N], has[N];   /* as who asks: when last, and until when it has the slot */
byte settled;           /* from when the slot is front 2's own */
byte last_down;         /* when front 2 was down last */
bool up[N];
byte crashes = 0;

/* Under way from one to another; a later one takes the place of an earlier one, which is lost. */
byte bid[N * N], bid_life[N * N]; /* when it was sent */
byte said[N * N];                 /* a vote: for the bid sent when; at where it goes, from whom */
byte answer_to[N], answer_for[N]; /* for the ask sent when, for how long */

hidden byte a, b, c, d, k;

#if MUTANT == 2 /* a majority of those it sees, not of the fleet: one that sees one other only */
#define ENOUGH(x) (yes[x] != 0)
#else
#define ENOUGH(x) (yes[x] == 3 || yes[x] == 5 || yes[x] == 6 || yes[x] == 7)
#endif

inline vote(who, from, its) { /* who is asked by from */
  if
  :: tick >= votes_from[who] && (tick >= bound_until[who] || (bound_to[who] == from && bound_life[who] == its)
#if MUTANT == 7 /* a vote does not bind */
     || true
#endif
     ) ->
     bound_to[who] = from; bound_life[who] = its; bound_until[who] = tick + L;
     c = 1
  :: else -> c = 0
  fi
}

inline counted(who) {
  if
  :: ENOUGH(who) && bid_at[who] + L > tick ->
#if MUTANT == 6 /* the office counts from when the votes came */
     office[who] = tick + L
#else
     if :: bid_at[who] + L > office[who] -> office[who] = bid_at[who] + L :: else fi
#endif
  :: else
  fi
}

/* Who holds the office gives the slot to k, who has asked at a time. */
inline give(who, k, at) {
  d = 0;
  if
  :: k == 2 -> d = 1
  :: k != 2 && empty_at[who] + H > tick -> d = 1
  :: else
  fi;
  a = 0;
  do
  :: a < N -> if :: a != k && given[who * N + a] > tick -> d = 0 :: else fi; a++
  :: else -> break
  od;
  if
  :: d == 1 && office[who] > tick ->
#if MUTANT == 4 /* what is handed out outlasts the office */
     d = L;
#else
     if :: office[who] - tick < L -> d = office[who] - tick :: else -> d = L fi;
#endif
     given[who * N + k] = tick + d;
     if
     :: k == who -> has[k] = tick + d
     :: k != who -> answer_to[k] = at; answer_for[k] = d
     fi
  :: else
  fi
}

/* What is over counts as never: the same state, however it came about. */
#define OVER(x) if :: x != 0 && x <= tick -> x = 0 :: else fi
#define LONG_AGO(x, span) if :: x != 0 && x + span <= tick -> x = 0 :: else fi
inline tidy() {
  a = 0;
  do
  :: a < N ->
     OVER(office[a]); OVER(bound_until[a]); OVER(has[a]); OVER(votes_from[a]);
     LONG_AGO(bid_at[a], L); LONG_AGO(asked_at[a], L); LONG_AGO(answer_to[a], L); LONG_AGO(empty_at[a], H);
     if :: bid_at[a] == 0 -> yes[a] = 0 :: else fi;
     if :: bound_until[a] == 0 -> bound_to[a] = 0; bound_life[a] = 0 :: else fi;
     if :: answer_to[a] == 0 -> answer_for[a] = 0 :: else fi;
     a++
  :: else -> break
  od;
  a = 0;
  do
  :: a < N * N -> OVER(given[a]); LONG_AGO(bid[a], L); LONG_AGO(said[a], L);
     if :: bid[a] == 0 -> bid_life[a] = 0 :: else fi;
     a++
  :: else -> break
  od
}

active proctype world() {
  up[0] = true; up[1] = true; up[2] = PART != 3;
  last_down = (PART == 3 -> tick : 0); settled = (PART == 3 -> 255 : tick);
  do
  :: tick < END -> atomic {
       tick++;
       if :: !up[2] -> last_down = tick :: else fi;
       tidy()
     }
  /* somebody stands for the office */
  :: atomic {
       STANDS(k);
       up[k] && tick >= votes_from[k] && bid_at[k] != tick ->
       bid_at[k] = tick; yes[k] = 0;
       vote(k, k, life[k]);
       if :: c == 1 -> yes[k] = 1 << k; counted(k) :: else fi;
       a = 0;
       do
       :: a < N -> if :: a != k -> bid[k * N + a] = tick; bid_life[k * N + a] = life[k] :: else fi; a++
       :: else -> break
       od
     }
  /* a bid arrives, some time */
  :: atomic {
       STANDS(a);
       if :: b = 0 :: b = 1 :: b = 2 fi;
       bid[a * N + b] != 0 && up[b] ->
       vote(b, a, bid_life[a * N + b]);
       if :: c == 1 -> said[a * N + b] = bid[a * N + b] :: else fi;
       bid[a * N + b] = 0
     }
  /* a vote arrives, some time */
  :: atomic {
       STANDS(a);
       if :: b = 0 :: b = 1 :: b = 2 fi;
       said[a * N + b] != 0 ->
       if
       :: up[a] && bid_at[a] == said[a * N + b] -> yes[a] = yes[a] | (1 << b); counted(a)
       :: else
       fi;
       said[a * N + b] = 0
     }
  /* a question to 2 comes back; it was sent at some time up to when 2 was down last */
  :: atomic {
       SLOT; STANDS(k);
       up[k] && office[k] > tick && last_down > 0 ->
#if MUTANT == 3 /* evidence is dated by when it comes */
       empty_at[k] = tick
#else
       if :: last_down > empty_at[k] -> empty_at[k] = last_down :: else fi
#endif
     }
  /* somebody asks for the slot; the ask arrives at once, the answer when it likes */
  :: atomic {
       SLOT; if :: k = 0 :: k = 1 :: k = 2 fi;
       up[k] && has[k] <= tick && asked_at[k] != tick && (k != 2 || tick < settled) ->
       asked_at[k] = tick;
       STANDS(b);
       if :: up[b] && office[b] > tick -> give(b, k, tick) :: else fi
     }
  :: atomic {
       if :: k = 0 :: k = 1 :: k = 2 fi;
       answer_to[k] != 0 ->
       if
       :: up[k] && asked_at[k] == answer_to[k] && answer_to[k] + answer_for[k] > tick ->
#if MUTANT == 8 /* what is handed out counts from when the answer came */
          has[k] = tick + answer_for[k]
#else
          has[k] = answer_to[k] + answer_for[k]
#endif
       :: else
       fi;
       answer_to[k] = 0
     }
  /* a crash: all that it held in memory is gone; and a start */
  :: atomic {
       PART != 3 && crashes < CRASHES ->
       if :: k = 0 :: k = 1 :: k = 2 fi;
       up[k] -> up[k] = false; crashes++; has[k] = 0; office[k] = 0; bid_at[k] = 0; yes[k] = 0; asked_at[k] = 0;
       empty_at[k] = 0; bound_until[k] = 0; life[k]++;
       given[k * N] = 0; given[k * N + 1] = 0; given[k * N + 2] = 0;
       if :: k == 2 -> last_down = tick; settled = 255 :: else fi
     }
  :: atomic {
       if :: k = 0 :: k = 1 :: k = 2 fi;
       PART != 3 && !up[k] -> up[k] = true;
#if MUTANT == 1 /* a voter that starts votes at once */
       votes_from[k] = tick;
#else
       votes_from[k] = tick + L;
#endif
       if
       :: k == 2 ->
#if MUTANT == 5 /* what was handed out of its slot is not waited for */
          settled = tick
#else
          settled = tick + H + L
#endif
       :: else
       fi
     }
  :: tick >= END -> break
  od
}

#define HOLDS(x) (up[x] && office[x] > tick)
#define HAS(x) (up[x] && has[x] > tick)
never { /* two hold the office, or two use the slot */
  do
  :: HOLDS(0) && HOLDS(1) -> break
  :: HAS(0) && HAS(1) -> break
  :: up[2] && tick >= settled && (HAS(0) || HAS(1)) -> break
  :: HAS(2) && (HAS(0) || HAS(1)) -> break
  :: else
  od
}
