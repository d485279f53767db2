/*
 * One request through reserve, prefill, transfer and decode.
 *
 * One entry makes up to ATTEMPTS attempts at one decode agent, whose engine has one seat. Each message is one bit, so messages
 * are delivered in any order, late, repeatedly (up to REPEATS times) or never, because every wait of the entry can
 * time out first. Messages to an agent are still delivered after its restart. Each -DBROKEN_x removes one rule.
 */
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef AGENT_CRASHES
#define AGENT_CRASHES 1
#endif
#ifndef LOSSES
#define LOSSES 1
#endif
#ifndef REPEATS
#define REPEATS 1
#endif
#define TOKENS 2
#define N (ATTEMPTS + 1)

mtype = { NONE, RESERVED, RUNNING, ADOPTED, CANCELLING, ENDED }
mtype = { EMPTY, IMPORTING, GENERATING }
mtype = { ASKING, PREFILLING, DECODING, OVER }

/* Messages in flight: entry to agents, agents to entry. */
bit mReserve[N], mPrefill[N], mDecode[N], mResume[N], mCancel[N]
bit mReserved[N], mPrefilled[N], mRefused[N], mFailed[N], mFinished[N], mToken[N * TOKENS]
byte first[N]       /* token offset at which an attempt starts */
byte offset[N]      /* token offset from which the entry resumes the attempt */

/* Entry. */
bool entryUp = true
mtype phase = ASKING
byte cur = 1        /* current attempt; only it is live */
byte next = 0       /* offset of the next token for the caller */
bit resumed = 0     /* the entry has sent the resume message of the current attempt */
bit sentWork = 0    /* the entry has sent a prefill, so the request may have run */
bit saidNotRun = 0  /* the entry has reported to the caller that the request did not run */
byte answers = 0    /* complete responses sent to the caller */

/* Decode agent. */
mtype resv[N] = NONE
bool synced = true  /* the agent has listed the streams in the engine since its last start */
byte sent[N]        /* offset of the next token that the agent sends */
byte leaseBreaks = 1    /* lease expiries left while the entry is up */
byte crashes = AGENT_CRASHES
byte losses = LOSSES
byte repeats = REPEATS

/* Calls between the agent and its engine; a call in flight is still delivered after the agent crashes. */
bit cStart[N], cCancel[N], cCancelled[N], cFailed[N]
bit cancelSent[N]

/* Engines. */
mtype eng[N] = EMPTY
byte gen[N]         /* offset after the last generated token */
bit kv[N]           /* the prefill engine holds the KV cache of the attempt */
bit ran = 0         /* an engine has started work for the request */
bit lateStart = 0   /* a start call was in flight when its agent crashed */

#define live(a) (entryUp && phase != OVER && a == cur)
#define owned(a) (resv[a] == RESERVED || resv[a] == RUNNING)
#define held(a) (owned(a) || resv[a] == ADOPTED || resv[a] == CANCELLING)
#define over (!entryUp || phase == OVER)
#define engineFree (eng[1] == EMPTY && eng[ATTEMPTS] == EMPTY)
#define tableFree (!held(1) && !held(ATTEMPTS))

/* Receives a message; one that is repeated stays in flight. */
inline consume (message) {
  if
  :: message = 0
  :: repeats > 0 -> repeats--
  fi
}

/* The entry ignores messages of attempts that it has abandoned. Not sending them gives the same behaviour with fewer states. */
#define sendToEntry(a, message) message = live(a)

inline discardMessages (a) {
  mReserved[a] = 0; mPrefilled[a] = 0; mRefused[a] = 0; mFailed[a] = 0; mFinished[a] = 0;
  mToken[a * TOKENS] = 0; mToken[a * TOKENS + 1] = 0
}

inline sendCancel (a) {
  if
  :: mCancel[a] = 1
  :: losses > 0 -> losses--
  fi
}

inline endReservation (a) {
  resv[a] = ENDED; sent[a] = 0
}

inline release (a) {
  if
  :: resv[a] == RESERVED -> endReservation(a)
  :: resv[a] == RUNNING || resv[a] == ADOPTED -> resv[a] = CANCELLING; sent[a] = 0; cancelSent[a] = 0
  :: resv[a] == NONE -> resv[a] = ENDED
  :: else
  fi
}

inline finish (complete) {
  if
  :: complete -> answers++; assert(next == TOKENS); assert(answers == 1)
  :: else ->
#ifdef BROKEN_NOT_RUN
    saidNotRun = 1
#else
    saidNotRun = !sentWork
#endif
    assert(!(saidNotRun && ran))
  fi
  phase = OVER;
  discardMessages(cur); next = 0; resumed = 0
}

/* Abandons the current attempt and starts the next one, or fails the request after the last one. */
inline abandonAttempt () {
  sendCancel(cur);
  discardMessages(cur);
  if
  :: cur < ATTEMPTS -> cur++; phase = ASKING; resumed = 0; mReserve[cur] = 1
  :: else -> finish(false)
  fi
}

proctype Entry () {
  byte o
  mReserve[1] = 1
  do
  :: over -> break
  :: atomic { entryUp && phase == ASKING && mReserved[cur] -> consume(mReserved[cur]);
      phase = PREFILLING; sentWork = 1; mPrefill[cur] = 1 }
  :: atomic { entryUp && phase == PREFILLING && mPrefilled[cur] -> consume(mPrefilled[cur]);
      phase = DECODING; first[cur] = next; mDecode[cur] = 1 }
  :: atomic { entryUp && phase == DECODING && next < TOKENS && mToken[cur * TOKENS + next] ->
      consume(mToken[cur * TOKENS + next]); next++ }
#ifdef BROKEN_OFFSET
  :: atomic { entryUp && phase == DECODING && next > 0 && mToken[cur * TOKENS + next - 1] ->
      consume(mToken[cur * TOKENS + next - 1]); assert(false) }
#endif
#ifdef BROKEN_END
  :: atomic { entryUp && phase == DECODING && mFinished[cur] -> finish(true) }
#else
  :: atomic { entryUp && phase == DECODING && mFinished[cur] && next == TOKENS -> finish(true) }
#endif
  :: atomic { entryUp && phase != OVER && (mRefused[cur] || mFailed[cur]) -> mRefused[cur] = 0; mFailed[cur] = 0; abandonAttempt() }
  :: atomic { entryUp && phase == DECODING && !resumed -> resumed = 1; offset[cur] = next; mResume[cur] = 1 }
#ifndef BROKEN_TIMEOUT
  :: atomic { entryUp && phase != OVER -> abandonAttempt() }  /* a wait times out */
#endif
  od
}

/* The caller may cancel the request, and the entry may crash, each at any time or never. */
proctype Crash () {
  if
  :: atomic { phase != OVER -> sendCancel(cur); finish(false) }
  :: skip
  fi;
  if
  :: atomic { entryUp = false; discardMessages(cur); next = 0; resumed = 0 }
  :: skip
  fi
}

proctype Agent (byte a) {
  /* One process for each attempt; the reservation table is shared. */
end:
  do
  :: atomic { synced && mReserve[a] -> consume(mReserve[a]);
      if
      :: resv[a] != NONE -> if :: resv[a] == RESERVED -> sendToEntry(a, mReserved[a]) :: else -> sendToEntry(a, mRefused[a]) fi
      :: resv[a] == NONE && tableFree -> resv[a] = RESERVED; sendToEntry(a, mReserved[a])
      :: resv[a] == NONE && !tableFree -> resv[a] = ENDED; sendToEntry(a, mRefused[a])
      fi }
  :: atomic { mDecode[a] -> consume(mDecode[a]);
      if
      :: resv[a] == RESERVED -> resv[a] = RUNNING; sent[a] = first[a]; cStart[a] = 1
      :: resv[a] == RUNNING
      :: else -> sendToEntry(a, mRefused[a])
      fi }
  :: atomic { synced && mResume[a] -> consume(mResume[a]);
      if
      :: resv[a] == RUNNING || resv[a] == ADOPTED -> resv[a] = RUNNING; sent[a] = offset[a]
      :: else -> sendToEntry(a, mRefused[a])
      fi }
  :: atomic { mCancel[a] -> consume(mCancel[a]); release(a) }
#ifndef BROKEN_LIVE_LIST
  /* A heartbeat lists the live attempts of the entry. */
  :: atomic { owned(a) && entryUp && !live(a) -> release(a) }
#endif
  /* The lease expires: always after the entry has crashed, and at most once while it is up. */
#ifndef BROKEN_LEASE
  :: atomic { owned(a) && !entryUp -> release(a) }
#endif
  :: atomic { owned(a) && entryUp && leaseBreaks > 0 -> leaseBreaks--; release(a) }
  /* No entry has claimed an adopted attempt within one lease. */
  :: atomic { resv[a] == ADOPTED -> release(a) }
  /* Tokens and the end of the stream. */
  :: atomic { resv[a] == RUNNING && eng[a] == GENERATING && sent[a] < gen[a] ->
      sendToEntry(a, mToken[a * TOKENS + sent[a]]); sent[a]++ }
  :: atomic { resv[a] == RUNNING && eng[a] == GENERATING && sent[a] == TOKENS ->
      sendToEntry(a, mFinished[a]); eng[a] = EMPTY; gen[a] = 0; endReservation(a) }
  :: atomic { cFailed[a] -> cFailed[a] = 0;
      if :: resv[a] == RUNNING -> endReservation(a); sendToEntry(a, mFailed[a]) :: else fi }
  /* A cancel is repeated until it is confirmed. The confirmation of a cancel that the engine got before the start call does
     not show that the seat is free. */
#if defined(BROKEN_CANCEL_RETRY)
  :: atomic { resv[a] == CANCELLING && !cancelSent[a] && !cStart[a] -> cancelSent[a] = 1; cCancel[a] = 1 }
#elif defined(BROKEN_CANCEL_EARLY)
  :: atomic { resv[a] == CANCELLING && !cCancel[a] && !cCancelled[a] -> cCancel[a] = 1 }
#else
  :: atomic { resv[a] == CANCELLING && !cCancel[a] && !cCancelled[a] && !cStart[a] -> cCancel[a] = 1 }
#endif
#ifdef BROKEN_FREE_EARLY
  :: atomic { resv[a] == CANCELLING && cCancel[a] -> endReservation(a) }
#endif
  :: atomic { cCancelled[a] -> cCancelled[a] = 0; if :: resv[a] == CANCELLING -> endReservation(a) :: else fi }
#ifndef BROKEN_ADOPT_ONCE
  /* The agent periodically compares the streams that the engine holds with its table. */
  :: atomic { synced && eng[a] != EMPTY && resv[a] == NONE -> resv[a] = ADOPTED }
  :: atomic { synced && eng[a] != EMPTY && resv[a] == ENDED -> resv[a] = CANCELLING; cancelSent[a] = 0 }
#endif
  od
}

/* Crashes and restarts the agent: its table is lost, and it admits nothing until it has listed the streams in the engine. */
proctype Restart () {
  byte a
end:
  do
  :: atomic { crashes > 0 -> crashes--; a = 1;
      do
      :: a <= ATTEMPTS -> resv[a] = NONE; sent[a] = 0; cCancelled[a] = 0; cFailed[a] = 0; cancelSent[a] = 0;
          if :: cStart[a] -> lateStart = 1 :: else fi; a++
      :: else -> break
      od;
#ifdef BROKEN_ADMIT_FIRST
      synced = true
#else
      synced = false
#endif
      a = 0 }
  :: atomic { !synced -> a = 1;
      do
      :: a <= ATTEMPTS -> if :: eng[a] != EMPTY && resv[a] == NONE -> resv[a] = ADOPTED
                             :: eng[a] != EMPTY && resv[a] == ENDED -> resv[a] = CANCELLING
                             :: else fi; a++
      :: else -> break
      od;
      synced = true; a = 0 }
  od
}

proctype Engine (byte a) {
end:
  do
  :: atomic { mPrefill[a] -> consume(mPrefill[a]); assert(!saidNotRun); ran = 1; kv[a] = 1; sendToEntry(a, mPrefilled[a]) }
  :: atomic { kv[a] -> kv[a] = 0 }                              /* the prefill result expires */
  :: atomic { cStart[a] -> cStart[a] = 0;
      if
      :: engineFree -> assert(!saidNotRun); ran = 1; eng[a] = IMPORTING
      :: else -> assert(lateStart); cFailed[a] = 1              /* otherwise the table admits no more than fits */
      fi }
  :: atomic { eng[a] == IMPORTING && kv[a] -> kv[a] = 0; eng[a] = GENERATING; gen[a] = first[a] }
  :: atomic { eng[a] == IMPORTING && !kv[a] -> eng[a] = EMPTY; cFailed[a] = 1 }
  :: atomic { eng[a] == GENERATING && gen[a] < TOKENS -> gen[a]++ }
  :: atomic { cCancel[a] -> cCancel[a] = 0; eng[a] = EMPTY; gen[a] = 0; cCancelled[a] = 1 }
  :: atomic { cCancel[a] && losses > 0 -> losses--; cCancel[a] = 0 }
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
  atomic {
    run Entry(); run Crash();
    run Agent(1); run Engine(1);
#if ATTEMPTS > 1
    run Agent(2); run Engine(2);
#endif
    run Restart()
  }
}

ltl released { [] (over -> <> (engineFree && tableFree)) }
ltl ended { <> over }
