package org.clementinepost.policy.routing;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.AdmissionMode;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.ResultCode;

/**
 * Chooses among the backend servers whose hosts have replied to load queries.
 *
 * <p>A server that would admit the request, now or after a wait, goes before one that its host
 * holds back for its health. An idle server goes before busy ones: run times are estimates from
 * past runs, and a server that never gets a request would keep a bad one. A request leaves its
 * failure domain only if every such server of the domain would let it wait, and the wait saved is
 * worth the cost. An idle server that has asked for a request may be in another domain.
 */
final class ServerChoicePolicy {
  /** A backend server and its host's reply. */
  record Answer(Endpoint endpoint, KnownReport known) {}

  /** How many times as long as usual the runs of an idle server may take for it to go first. */
  private static final int MAX_IDLE_RUN_RATIO = 2;

  /** The part of the target latency that leaving the own domain must save. */
  private static final int MIN_SAVING_DIVISOR = 8;

  private record Candidate(
      Answer answer, ServerOffer offer, ExpectedTime time, DomainCost cost, boolean idle) {
    boolean isInOwnDomain() {
      return answer.known().sameDomain();
    }

    long totalMicros() {
      return time.totalMicros() + cost.micros();
    }

    ServerChoice chosen(long savedMicros) {
      return new ServerChoice(
          answer.endpoint(),
          Option.when(offer != ServerOffer.FAILING_SERVER, AdmissionMode.WAIT_FOR_SLOT),
          offer,
          !isInOwnDomain(),
          time.waitMicros(),
          savedMicros);
    }
  }

  private ServerChoicePolicy() {}

  /**
   * Returns the best server that would admit the request at once, if any does. An idle server that
   * has asked for a request gets it whatever the others reply.
   */
  static Option<ServerChoice> chooseFreeSlot(
      Vector<Answer> answers, RoundTrips roundTrips, Option<Endpoint> idle, long nowNanos) {
    Vector<Candidate> free =
        candidates(answers, roundTrips, nowNanos)
            .filter(candidate -> candidate.offer() == ServerOffer.FREE_SLOT);
    return free.find(candidate -> idle.contains(candidate.answer().endpoint()))
        .orElse(() -> best(free))
        .map(candidate -> candidate.chosen(0));
  }

  /**
   * Returns the best server; none if no host would admit the request in any way.
   *
   * @param targetLatencyMillis the target latency of the request; zero if it has none
   */
  static Option<ServerChoice> choose(
      Vector<Answer> answers, RoundTrips roundTrips, long targetLatencyMillis, long nowNanos) {
    Vector<Candidate> candidates = candidates(answers, roundTrips, nowNanos);
    Vector<Candidate> healthy =
        candidates.filter(c -> c.offer() == ServerOffer.FREE_SLOT || c.offer() == ServerOffer.WAIT);
    Option<Candidate> own = best(healthy.filter(Candidate::isInOwnDomain));
    if (own.isDefined()) {
      return Option.some(ownOrOther(own.get(), healthy, targetLatencyMillis));
    }
    Option<Candidate> any =
        best(healthy)
            .orElse(() -> best(candidates.filter(c -> c.offer() == ServerOffer.UNPROVEN_SERVER)))
            .orElse(() -> best(candidates.filter(c -> c.offer() == ServerOffer.FAILING_SERVER)));
    return any.map(candidate -> candidate.chosen(0));
  }

  private static ServerChoice ownOrOther(
      Candidate own, Vector<Candidate> healthy, long targetLatencyMillis) {
    Option<Candidate> other =
        best(healthy.filter(c -> !c.isInOwnDomain() && c.offer() == ServerOffer.FREE_SLOT));
    if (own.offer() == ServerOffer.FREE_SLOT || other.isEmpty()) {
      return own.chosen(0);
    }
    long savedMicros = own.time().totalMicros() - other.get().time().totalMicros();
    return other
            .get()
            .cost()
            .isWorth(savedMicros - minSavingMicros(own.answer().known(), targetLatencyMillis))
        ? other.get().chosen(savedMicros)
        : own.chosen(0);
  }

  /**
   * A caller gains little from a saving that is small in relation to its target latency. Where more
   * than one request for each slot waits, however, the queue may have no room.
   */
  private static long minSavingMicros(KnownReport own, long targetLatencyMillis) {
    boolean queueIsShort = own.report().waiting() + own.placedSince() < own.report().slots();
    return queueIsShort
        ? TimeUnit.MILLISECONDS.toMicros(targetLatencyMillis) / MIN_SAVING_DIVISOR
        : 0;
  }

  private static Vector<Candidate> candidates(
      Vector<Answer> answers, RoundTrips roundTrips, long nowNanos) {
    long usualRunMicros = usualRunMicros(answers);
    return answers.map(answer -> candidate(answer, usualRunMicros, roundTrips, nowNanos));
  }

  private static Candidate candidate(
      Answer answer, long usualRunMicros, RoundTrips roundTrips, long nowNanos) {
    KnownReport known = answer.known();
    ExpectedTime time = ExpectedTime.of(known, usualRunMicros, nowNanos);
    DomainCost cost =
        known.sameDomain()
            ? DomainCost.OWN_DOMAIN
            : DomainCost.ofOtherDomain(roundTrips.micros(answer.endpoint().domain()));
    boolean idle = known.isIdle() && time.runMicros() <= MAX_IDLE_RUN_RATIO * usualRunMicros;
    return new Candidate(answer, offer(known), time, cost, idle);
  }

  private static ServerOffer offer(KnownReport known) {
    if (known.admitsNow()) {
      return ServerOffer.FREE_SLOT;
    }
    switch (known.report().refusal().getOrElse(ResultCode.HOST_QUEUE_FULL)) {
      case HOST_QUEUE_FULL:
        return ServerOffer.WAIT;
      case BACKEND_SERVER_UNPROVEN:
        return ServerOffer.UNPROVEN_SERVER;
      case BACKEND_SERVER_FAILING:
        return ServerOffer.FAILING_SERVER;
      default:
        return ServerOffer.NOTHING;
    }
  }

  /** Returns the mean of the run times that hosts know; zero if none knows one. */
  private static long usualRunMicros(Vector<Answer> answers) {
    Vector<Long> known = answers.flatMap(answer -> answer.known().report().expectedRunMicros());
    return known.isEmpty() ? 0 : known.sum().longValue() / known.size();
  }

  private static Option<Candidate> best(Vector<Candidate> candidates) {
    Vector<Candidate> idle = candidates.filter(Candidate::idle);
    return (idle.isEmpty() ? candidates : idle).minBy(Candidate::totalMicros);
  }
}
