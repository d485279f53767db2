/*
 * Orders of two incarnations of an agent to an engine that ignores fencing numbers.
 *
 * The old incarnation is paused and resumes late, while the new one is running; it crashes in the end. Orders and reads are
 * calls that may arrive late, and an order may arrive after the agent that sent it has crashed. Loading takes time. Each
 * -DBROKEN_x removes one rule.
 */
#define OLD 0
#define NEW 1
#define LOADING 3       /* state that the engine reports while it loads */
#ifndef PAUSES
#define PAUSES 2
#endif
#ifndef LOSSES
#define LOSSES 1
#endif

mtype = { IDLE, READING, DECIDED, ORDERING }

mtype phase[2] = IDLE
byte target[2]          /* version that each agent orders the engine to serve: 1 before the change, 2 after it */
byte view[2]            /* state returned by the last read; 0 when there is none */
bit inForce[2]          /* the agent has read back that the engine serves the target */
bool oldUp = true
bool asleep = false      /* the old incarnation is paused */
byte pauses = PAUSES
byte losses = LOSSES

bit cRead[2], cState[2], cOrder[2], cDone[2]
byte state[2], order[2]

byte engine = 0         /* version that the engine serves; at first neither target */
bit had[3]              /* the engine served the version at some time */
byte loading = 0        /* version that the engine is loading; 0 when it loads nothing */
byte oldOrders = 0      /* orders for the old target that the engine accepted after the change */
bit changed = 0

#define up(i) (i == NEW || (oldUp && !asleep))
#define settled (engine == 2 && loading == 0 && !oldUp && inForce[NEW] && !cOrder[OLD])

inline decide (i) {
  if
  :: view[i] == target[i] -> phase[i] = IDLE; inForce[i] = 1; assert(had[target[i]])
#ifndef BROKEN_LOADING
  :: view[i] == LOADING -> phase[i] = READING                 /* reads again until the engine has loaded */
#endif
  :: else -> phase[i] = ORDERING; cOrder[i] = 1; order[i] = target[i]
  fi;
  view[i] = 0
}

inline onPause (i) {
  if :: phase[i] == DECIDED -> phase[i] = READING; view[i] = 0 :: else fi;
  if :: phase[i] == READING -> cState[i] = 0; state[i] = 0 :: else fi;
#ifndef BROKEN_CONFIG
  if :: changed -> target[i] = 2; inForce[i] = 0 :: else fi
#endif
}

proctype Agent (byte i) {
end:
  do
  :: atomic { up(i) && phase[i] == IDLE && !inForce[i] -> phase[i] = READING; cRead[i] = 1 }
  /* An agent whose target is in force still reads the engine state periodically. */
#ifndef BROKEN_RECHECK
  :: atomic { up(i) && phase[i] == IDLE && inForce[i] && (engine != target[i] || loading != 0) ->
      inForce[i] = 0; phase[i] = READING; cRead[i] = 1 }
#endif
  :: atomic { up(i) && phase[i] == READING && cState[i] -> cState[i] = 0; view[i] = state[i]; state[i] = 0; phase[i] = DECIDED }
  :: atomic { up(i) && phase[i] == READING && !cState[i] && !cRead[i] -> cRead[i] = 1 }
  :: atomic { up(i) && phase[i] == DECIDED -> decide(i) }
  :: atomic { up(i) && phase[i] == ORDERING && cDone[i] -> cDone[i] = 0;
#ifdef BROKEN_READ_BACK
      phase[i] = IDLE; inForce[i] = 1; assert(had[target[i]]) }
#else
      phase[i] = READING; cRead[i] = 1 }
#endif
  /* The response to the order was lost: the agent reads the state before it sends the order again. */
  :: atomic { up(i) && phase[i] == ORDERING && !cDone[i] && !cOrder[i] -> phase[i] = READING; cRead[i] = 1 }
  /* The process was paused: it discards the state that it read, and reads the configuration again before it acts. */
  :: atomic { i == NEW && pauses > 0 && phase[i] != IDLE -> pauses--; onPause(i) }
  od
}

proctype Engine () {
  byte i
end:
  do
  :: atomic { cRead[OLD] -> cRead[OLD] = 0; state[OLD] = (loading != 0 -> LOADING : engine); cState[OLD] = 1 }
  :: atomic { cRead[NEW] -> cRead[NEW] = 0; state[NEW] = (loading != 0 -> LOADING : engine); cState[NEW] = 1 }
  :: atomic { (cRead[NEW] || cOrder[NEW] || cDone[NEW]) && losses > 0 -> losses--;
      cRead[NEW] = 0; cOrder[NEW] = 0; order[NEW] = 0; cDone[NEW] = 0 }
  :: atomic { cOrder[OLD] -> cOrder[OLD] = 0; loading = order[OLD]; cDone[OLD] = oldUp;
      if :: changed && order[OLD] == 1 -> oldOrders++ :: else fi; order[OLD] = 0;
      /* The old incarnation was paused during the change, so at most one order with the old target may be in flight. */
      assert(oldOrders <= 1) }
  :: atomic { cOrder[NEW] -> cOrder[NEW] = 0;
      loading = order[NEW]; order[NEW] = 0; cDone[NEW] = 1 }
  od
}

proctype Loader () {
end:
  do
  :: atomic { loading != 0 -> engine = loading; had[engine] = 1; loading = 0 }
  od
}

/*
 * Pauses the old incarnation at any moment; meanwhile the configuration changes and the new incarnation starts with it. When
 * the old one resumes, it may send the order that it had decided on before it detects the pause. It crashes in the end.
 */
proctype Environment () {
  asleep = true;
  atomic { changed = 1; target[NEW] = 2; run Agent(NEW) };
  atomic { if :: phase[OLD] == DECIDED -> decide(OLD) :: skip fi; onPause(OLD); asleep = false };
  atomic { oldUp = false; phase[OLD] = IDLE; cRead[OLD] = 0; cState[OLD] = 0; cDone[OLD] = 0; inForce[OLD] = 0; view[OLD] = 0;
    state[OLD] = 0 }
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
  atomic { target[OLD] = 1; run Agent(OLD); run Engine(); run Loader(); run Environment() }
}

ltl served { <> [] settled }
