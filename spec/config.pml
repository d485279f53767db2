/*
 * Relay of configuration revisions among three processes, from a configuration service that may be down or stale.
 *
 * Process 0 is the designated reader of the service; the others get relayed records, and read the service directly only when
 * they cannot reach process 0. Relayed records and service responses may arrive late, in any order, and after a restart. Each
 * -DBROKEN_x removes one rule.
 */
#define NODES 3
#ifndef REVISIONS
#define REVISIONS 2
#endif
#ifndef CRASHES
#define CRASHES 2
#endif
#ifndef FAULTS
#define FAULTS 1
#endif
#define R (REVISIONS + 1)

mtype = { STARTING, SERVING }
mtype = { FRESH, STALE, DOWN }
mtype = { NO_CUT, PAIR_CUT, READER_CUT }

mtype state[NODES] = SERVING
byte rev[NODES]
byte before[NODES]      /* revision that was in force everywhere when the process stopped */
byte everywhere = 0     /* highest revision that was in force everywhere at one time */
byte published = 0      /* newest revision at the service */
byte snapshot = 0       /* revision that a stale service returns */
mtype service = FRESH
byte serviceFaults = FAULTS
byte crashes = CRASHES
byte staleReads = 1     /* reads of an older revision that may still happen */
mtype cut = NO_CUT      /* network partition: none, between processes 0 and 1, or between process 0 and both others */

bit mRecords[NODES * R]     /* records up to a revision, in flight to a process */
bit mAnswer[NODES * R]      /* response of a serving peer to a process that is starting */

#define linked(i, j) (cut == NO_CUT || (cut == PAIR_CUT && i + j != 1) || (cut == READER_CUT && i != 0 && j != 0))
#define serves(i) (state[i] == SERVING)
#define noneServes (!serves(0) && !serves(1) && !serves(2))
#define offered (service == FRESH -> published : snapshot)
#define reads(i) (service != DOWN && (i == 0 || !linked(0, i) || !serves(0)))
#define upToDate(i) (!serves(i) || rev[i] == newest)
#define consistent ((!serves(0) || !serves(1) || rev[0] == rev[1]) && (!serves(1) || !serves(2) || rev[1] == rev[2]) && \
  (!serves(0) || !serves(2) || rev[0] == rev[2]))
#define allNewest ((!serves(0) || rev[0] == REVISIONS) && (!serves(1) || rev[1] == REVISIONS) && \
  (!serves(2) || rev[2] == REVISIONS))

/* Raises `everywhere` to the lowest revision that any process serves, or is about to serve because of a response in flight. */
inline observe () {
  d_step {
    low = R; k = 0;
    do
    :: k < NODES ->
        if
        :: serves(k) && rev[k] < low -> low = rev[k]
        :: !serves(k) && mAnswer[k * R] -> low = 0
        :: !serves(k) && !mAnswer[k * R] && mAnswer[k * R + 1] && low > 1 -> low = 1
        :: else
        fi;
        k++
    :: else -> break
    od;
    if :: noneServes -> everywhere = 0 :: !noneServes && low > everywhere -> everywhere = low :: else fi;
    low = 0; k = 0
  }
}

proctype Node (byte i) {
  byte r, k, low
end:
  do
  /* Receives records from a peer or from the service. */
  :: atomic { (mRecords[i * R + 1] || mRecords[i * R + REVISIONS]) ->
      if :: mRecords[i * R + 1] -> r = 1 :: mRecords[i * R + REVISIONS] -> r = REVISIONS fi;
      mRecords[i * R + r] = 0;
      if
#ifdef BROKEN_LOWER
      :: serves(i) -> assert(r >= rev[i]); rev[i] = r
#else
      :: serves(i) && r > rev[i] -> rev[i] = r
#endif
      :: else
      fi;
      r = 0; observe() }
  /* Sends records to a peer that is behind. */
  :: atomic { serves(i) && linked(i, (i + 1) % NODES) && serves((i + 1) % NODES) && rev[i] > rev[(i + 1) % NODES] &&
        !mRecords[((i + 1) % NODES) * R + rev[i]] -> mRecords[((i + 1) % NODES) * R + rev[i]] = 1 }
#ifndef BROKEN_RELAY
  :: atomic { serves(i) && linked(i, (i + 2) % NODES) && serves((i + 2) % NODES) && rev[i] > rev[(i + 2) % NODES] &&
        !mRecords[((i + 2) % NODES) * R + rev[i]] -> mRecords[((i + 2) % NODES) * R + rev[i]] = 1 }
#endif
  /* The designated reader reads the service, and so does every process that gets no messages from the reader. */
#ifdef BROKEN_FALLBACK
  :: atomic { serves(i) && i == 0 && service != DOWN && offered > rev[i] && !mRecords[i * R + offered] ->
      mRecords[i * R + offered] = 1 }
#else
  :: atomic { serves(i) && reads(i) && offered > rev[i] && !mRecords[i * R + offered] -> mRecords[i * R + offered] = 1 }
#endif
  :: atomic { serves(i) && reads(i) && offered > 0 && offered < rev[i] && staleReads > 0 ->
      staleReads--; mRecords[i * R + offered] = 1 }
  /* A starting process asks its peers, and starts to serve with the revision that a serving peer returns. */
#ifdef BROKEN_ASK
  :: atomic { !serves(i) && service != DOWN -> rev[i] = offered; state[i] = SERVING;
      assert(rev[i] >= before[i]); before[i] = 0; observe() }
#else
  :: atomic { !serves(i) && linked(i, (i + 1) % NODES) && serves((i + 1) % NODES) &&
        !mAnswer[i * R + rev[(i + 1) % NODES]] -> mAnswer[i * R + rev[(i + 1) % NODES]] = 1 }
  :: atomic { !serves(i) && linked(i, (i + 2) % NODES) && serves((i + 2) % NODES) &&
        !mAnswer[i * R + rev[(i + 2) % NODES]] -> mAnswer[i * R + rev[(i + 2) % NODES]] = 1 }
  :: atomic { !serves(i) && (mAnswer[i * R] || mAnswer[i * R + 1] || mAnswer[i * R + REVISIONS]) ->
      if
      :: mAnswer[i * R] -> r = 0
      :: mAnswer[i * R + 1] -> r = 1
      :: mAnswer[i * R + REVISIONS] -> r = REVISIONS
      fi;
      mAnswer[i * R] = 0; mAnswer[i * R + 1] = 0; mAnswer[i * R + REVISIONS] = 0;
      rev[i] = r; r = 0; state[i] = SERVING;
      assert(rev[i] >= before[i]); before[i] = 0; observe() }
  /* No process serves, so no revision is in force: the service is the only source. */
  :: atomic { noneServes && service != DOWN -> rev[i] = offered; state[i] = SERVING; before[i] = 0; observe() }
#endif
  /* The process is killed and restarts. */
  :: atomic { serves(i) && crashes > 0 -> crashes--; before[i] = everywhere; rev[i] = 0; state[i] = STARTING;
      mAnswer[i * R] = 0; mAnswer[i * R + 1] = 0; mAnswer[i * R + REVISIONS] = 0;
      observe(); if :: noneServes -> before[0] = 0; before[1] = 0; before[2] = 0 :: else fi }
  od
}

proctype Environment () {
  do
  :: atomic { published < REVISIONS -> published++ }
  :: atomic { serviceFaults > 0 -> serviceFaults--;
      /* A stale service may return any older state, even one older than it returned before. */
      if
      :: service = DOWN
      :: service = STALE; snapshot = published
      :: published > 0 -> service = STALE; snapshot = published - 1
      fi }
  :: atomic { service != FRESH -> service = FRESH; snapshot = 0 }
  :: break
  od;
  if
  :: cut = PAIR_CUT
  :: cut = READER_CUT
  :: skip
  fi;
  /* At the end the service keeps its last state forever; a revision that is never published is never in force. */
  if
  :: atomic { service = FRESH; published = REVISIONS; snapshot = 0 }
  :: cut != READER_CUT
  fi
}

#ifdef LIVENESS
/* Keeps runs infinite, so that weak fairness applies to a state in which nothing more happens. */
active proctype Idle () {
end:
  do
  :: timeout
  od
}
#endif

init {
  atomic { run Node(0); run Node(1); run Node(2); run Environment() }
}

/* In the end every process serves the same revision, and the newest one if the service is up to date. */
ltl inForce { <> [] ((consistent || cut == READER_CUT) && (allNewest || service != FRESH || published < REVISIONS)) }
