/*
 * A call that is not idempotent, under one ticket, retried through two entries.
 *
 * Each entry may send the call, or a void, under the ticket; either message is delivered late, repeated or never, also to
 * a later incarnation of the agent and after the ticket expired. The agent's call to the service outlives the agent. Each
 * -DBROKEN_x removes one rule.
 */
#define ENTRIES 2
#ifndef CRASHES
#define CRASHES 2
#endif
#ifndef REPEATS
#define REPEATS 2
#endif

mtype = { UNUSED, RUNNING, DONE, LOST, NOT_RUN, ABSENT }    /* the ticket at the agent */
mtype = { WAITING, SAID_DONE, SAID_UNKNOWN, SAID_NOT_RUN }  /* what an entry told the caller */

mtype ticket = UNUSED
byte incarnation = 1
byte crashes = CRASHES
byte repeats = REPEATS

bit mCall[ENTRIES], mVoid[ENTRIES]
bit mDone[ENTRIES], mUnknown[ENTRIES], mNotRun[ENTRIES]
mtype told[ENTRIES] = WAITING
bit waits[ENTRIES]      /* the agent holds a call of this entry until the outcome is known */

bit cCall = 0           /* call in flight to the service */
bit cReply = 0, cBroken = 0
byte runs = 0
bit saidNotRun = 0

#define ended (told[0] != WAITING && told[1] != WAITING)

inline tell (e, what) {
  told[e] = what;
  mDone[e] = 0; mUnknown[e] = 0; mNotRun[e] = 0;
  if
  :: what == SAID_NOT_RUN -> saidNotRun = 1; assert(runs == 0)
  :: what == SAID_DONE -> assert(runs == 1)
  :: else
  fi
}

proctype Entry (byte e) {
  /* A call or a void; the entry may also crash, and its caller go away, before or after it sent. */
  if
  :: mCall[e] = 1
  :: mVoid[e] = 1
#ifdef BROKEN_LOCAL_NOT_RUN
  /* The entry cannot reach the agent and has sent nothing; but the ticket may have run through the other entry. */
  :: atomic { tell(e, SAID_NOT_RUN); goto endEntry }
#else
  :: atomic { tell(e, SAID_UNKNOWN); goto endEntry }
#endif
  fi;
  if
  :: atomic { mDone[e] -> tell(e, SAID_DONE) }
  :: atomic { mUnknown[e] -> tell(e, SAID_UNKNOWN) }
  :: atomic { mNotRun[e] -> tell(e, SAID_NOT_RUN) }
  /* The connection breaks or the wait times out. */
#ifdef BROKEN_NOT_RUN
  :: atomic { tell(e, SAID_NOT_RUN) }
#else
  :: atomic { tell(e, SAID_UNKNOWN) }
#endif
  fi;
endEntry:
  skip
}

inline take (message) {
  if
  :: message = 0
  :: repeats > 0 -> repeats--
  fi
}

inline begin () {
  ticket = RUNNING; cCall = 1
}

proctype Agent (byte e) {
  /* One process for each connection; the table is shared. */
end:
  do
  :: atomic { mCall[e] -> take(mCall[e]);
      if
#ifdef BROKEN_INCARNATION
      :: incarnation > 1 && ticket == ABSENT -> begin(); waits[e] = 1
#endif
#ifdef BROKEN_FORGET
      :: incarnation == 1 && ticket == ABSENT -> begin(); waits[e] = 1
#endif
#ifdef BROKEN_WAIT
      :: ticket == RUNNING -> begin(); waits[e] = 1
#endif
      :: ticket == UNUSED -> begin(); waits[e] = 1
      :: ticket == RUNNING -> waits[e] = 1
      :: ticket == DONE -> mDone[e] = 1
      :: ticket == NOT_RUN -> mNotRun[e] = 1
      :: ticket == LOST || ticket == ABSENT -> mUnknown[e] = 1
      fi }
  :: atomic { mVoid[e] -> take(mVoid[e]);
      if
#ifdef BROKEN_VOID
      :: ticket == UNUSED -> mNotRun[e] = 1
#else
      :: ticket == UNUSED -> ticket = NOT_RUN; mNotRun[e] = 1
#endif
      :: ticket == NOT_RUN -> mNotRun[e] = 1
      :: ticket == DONE -> mDone[e] = 1
      :: ticket == RUNNING || ticket == LOST || ticket == ABSENT -> mUnknown[e] = 1
      fi }
  :: atomic { waits[e] && ticket == DONE -> waits[e] = 0; mDone[e] = 1 }
  :: atomic { waits[e] && ticket == LOST -> waits[e] = 0; mUnknown[e] = 1 }
  :: atomic { waits[e] && ticket == ABSENT -> waits[e] = 0; mUnknown[e] = 1 }
  od
}

/* The ticket table's own steps, and the crash of the agent. */
proctype Table () {
end:
  do
  :: atomic { cReply -> cReply = 0; if :: ticket == RUNNING -> ticket = DONE :: else fi }
  :: atomic { cBroken -> cBroken = 0; if :: ticket == RUNNING -> ticket = LOST :: else fi }
  :: atomic { ticket == UNUSED -> ticket = NOT_RUN }                        /* it expires unused */
  :: atomic { ticket == DONE || ticket == LOST || ticket == NOT_RUN -> ticket = ABSENT }  /* its record is dropped */
  :: atomic { crashes > 0 -> crashes--; incarnation++; ticket = ABSENT; waits[0] = 0; waits[1] = 0;
      cReply = 0; cBroken = 0 }
  od
}

proctype Service () {
end:
  do
  :: atomic { cCall -> cCall = 0; runs++; assert(runs <= 1); assert(!saidNotRun);
      if :: cReply = 1 :: cBroken = 1 fi }
  /* The connection breaks before the service got the call; the agent cannot tell. */
  :: atomic { cCall -> cCall = 0; cBroken = 1 }
  od
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
  atomic { run Entry(0); run Entry(1); run Agent(0); run Agent(1); run Table(); run Service() }
}

ltl answered { <> ended }
