/*
 * A call that is not idempotent, under one ticket, retried through two entries.
 *
 * Each entry may send the call under the ticket, or a message that voids the ticket. Either message may arrive late,
 * repeatedly or never, even at a later incarnation of the agent or after the ticket has expired. The agent's call to the
 * service is still delivered after the agent crashes. Each -DBROKEN_x removes one rule.
 */
#define ENTRIES 2
#ifndef CRASHES
#define CRASHES 2
#endif
#ifndef REPEATS
#define REPEATS 2
#endif

mtype = { UNUSED, RUNNING, DONE, LOST, NOT_RUN, ABSENT }    /* state of the ticket at the agent */
mtype = { WAITING, SAID_DONE, SAID_UNKNOWN, SAID_NOT_RUN }  /* outcome that an entry reported to the caller */

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
byte runs = 0           /* times that the service ran the call */
bit saidNotRun = 0      /* an entry has reported to its caller that the call did not run */

#define ended (told[0] != WAITING && told[1] != WAITING)

inline reportOutcome (e, what) {
  told[e] = what;
  mDone[e] = 0; mUnknown[e] = 0; mNotRun[e] = 0;
  if
  :: what == SAID_NOT_RUN -> saidNotRun = 1; assert(runs == 0)
  :: what == SAID_DONE -> assert(runs == 1)
  :: else
  fi
}

proctype Entry (byte e) {
  /* Sends a call or a void. The entry may also crash, or its caller disconnect, before or after the entry has sent either. */
  if
  :: mCall[e] = 1
  :: mVoid[e] = 1
#ifdef BROKEN_LOCAL_NOT_RUN
  /* The entry cannot reach the agent and has sent nothing, but the call may have run through the other entry. */
  :: atomic { reportOutcome(e, SAID_NOT_RUN); goto endEntry }
#else
  :: atomic { reportOutcome(e, SAID_UNKNOWN); goto endEntry }
#endif
  fi;
  if
  :: atomic { mDone[e] -> reportOutcome(e, SAID_DONE) }
  :: atomic { mUnknown[e] -> reportOutcome(e, SAID_UNKNOWN) }
  :: atomic { mNotRun[e] -> reportOutcome(e, SAID_NOT_RUN) }
  /* The connection breaks or the wait times out. */
#ifdef BROKEN_NOT_RUN
  :: atomic { reportOutcome(e, SAID_NOT_RUN) }
#else
  :: atomic { reportOutcome(e, SAID_UNKNOWN) }
#endif
  fi;
endEntry:
  skip
}

/* Receives a message; one that is repeated stays in flight. */
inline consume (message) {
  if
  :: message = 0
  :: repeats > 0 -> repeats--
  fi
}

inline beginCall () {
  ticket = RUNNING; cCall = 1
}

proctype Agent (byte e) {
  /* One process for each connection; the table is shared. */
end:
  do
  :: atomic { mCall[e] -> consume(mCall[e]);
      if
#ifdef BROKEN_INCARNATION
      :: incarnation > 1 && ticket == ABSENT -> beginCall(); waits[e] = 1
#endif
#ifdef BROKEN_FORGET
      :: incarnation == 1 && ticket == ABSENT -> beginCall(); waits[e] = 1
#endif
#ifdef BROKEN_WAIT
      :: ticket == RUNNING -> beginCall(); waits[e] = 1
#endif
      :: ticket == UNUSED -> beginCall(); waits[e] = 1
      :: ticket == RUNNING -> waits[e] = 1
      :: ticket == DONE -> mDone[e] = 1
      :: ticket == NOT_RUN -> mNotRun[e] = 1
      :: ticket == LOST || ticket == ABSENT -> mUnknown[e] = 1
      fi }
  :: atomic { mVoid[e] -> consume(mVoid[e]);
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

/* Steps of the ticket table, and crashes of the agent. */
proctype Table () {
end:
  do
  :: atomic { cReply -> cReply = 0; if :: ticket == RUNNING -> ticket = DONE :: else fi }
  :: atomic { cBroken -> cBroken = 0; if :: ticket == RUNNING -> ticket = LOST :: else fi }
  :: atomic { ticket == UNUSED -> ticket = NOT_RUN }                        /* it expires unused */
  :: atomic { ticket == DONE || ticket == LOST || ticket == NOT_RUN -> ticket = ABSENT }  /* its record is deleted */
  :: atomic { crashes > 0 -> crashes--; incarnation++; ticket = ABSENT; waits[0] = 0; waits[1] = 0;
      cReply = 0; cBroken = 0 }
  od
}

proctype Service () {
end:
  do
  :: atomic { cCall -> cCall = 0; runs++; assert(runs <= 1); assert(!saidNotRun);
      if :: cReply = 1 :: cBroken = 1 fi }
  /* The connection breaks before the service gets the call; the agent cannot distinguish this from a break after it. */
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
