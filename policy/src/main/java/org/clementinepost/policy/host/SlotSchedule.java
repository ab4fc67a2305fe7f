package org.clementinepost.policy.host;

import java.util.PriorityQueue;

/**
 * The times at which the slots of a backend server become free, while a queue is planned.
 *
 * <p>It is confined to one decision and is not part of any state.
 */
final class SlotSchedule {
  private final PriorityQueue<Long> freeNanos = new PriorityQueue<>();

  /** Creates the schedule of a server, as time from now. */
  static SlotSchedule of(HostState state, HostedServer server, long nowNanos) {
    SlotSchedule schedule = new SlotSchedule();
    for (AdmittedRequest running : state.admissions().values()) {
      if (running.server().equals(server.announcement().server())) {
        schedule.freeNanos.add(remainingNanos(server, running, nowNanos));
      }
    }
    int slots = server.announcement().slots();
    while (schedule.freeNanos.size() > slots) {
      schedule.freeNanos.poll();
    }
    // More free slots than requests that may wait make no difference.
    int free = Math.min(slots - schedule.freeNanos.size(), FairQueue.MAX_PLANNED_FREE_SLOTS);
    for (int i = 0; i < free; i++) {
      schedule.freeNanos.add(0L);
    }
    return schedule;
  }

  /**
   * Returns the time that a run still needs. One that has exceeded its usual time is expected to
   * need as long as it has exceeded it, so that the predicted wait for a server that has stopped
   * responding grows.
   */
  private static long remainingNanos(HostedServer server, AdmittedRequest running, long nowNanos) {
    long expectedNanos = server.runTimes().expectedNanos(running.kind()).getOrElse(0L);
    return Math.abs(expectedNanos - (nowNanos - running.admittedNanos()));
  }

  /** Returns when the next slot becomes free. */
  long nextFreeNanos() {
    return freeNanos.peek();
  }

  /** Uses the next free slot for a run that starts at the given time at the earliest. */
  void occupy(long startNanos, long runNanos) {
    freeNanos.add(Math.max(freeNanos.poll(), startNanos) + runNanos);
  }
}
