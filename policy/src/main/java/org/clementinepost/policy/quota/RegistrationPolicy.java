package org.clementinepost.policy.quota;

import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.peer.QuotaMessage;
import org.clementinepost.kernel.Step;

/**
 * Decides until when a node may act as a home.
 *
 * <p>A read of its own record that shows no end renews the tenure from the sending of the read: who
 * ends it writes there first, and then waits for a lease. While the table is away, a quorum of the
 * witnesses named in the record renews it likewise; who ends it needs a quorum of the same
 * witnesses, so one of them would not confirm. Only a read brings back a tenure that has lapsed.
 */
final class RegistrationPolicy {
  /** With fewer of the named witnesses left, others are named. */
  private static final double KEPT_WITNESSES_PART = 0.9;

  private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private RegistrationPolicy() {}

  /** Makes the record, if there is none yet. */
  static Step<Registration, TenureEffect> wanted(
      Registration own, NodeId self, Vector<NodeId> members) {
    if (own.item().isDefined() || own.writing()) {
      return Step.to(own);
    }
    return Step.to(
        own.whileWriting(), new TenureEffect.WriteNode(fresh(own, self, members), Option.none()));
  }

  private static NodeTenure fresh(Registration own, NodeId self, Vector<NodeId> members) {
    return new NodeTenure(
        self,
        own.generation(),
        TenureTerm.witnesses(self, members),
        TenureTerm.leaseMillis(members.size()),
        false);
  }

  /** Renews in good time, through the witnesses when the table has been silent. */
  static Step<Registration, TenureEffect> tick(Registration own, NodeId self, long nowNanos) {
    if (own.item().isEmpty()) {
      boolean due = own.writing() && nowNanos - own.renewedNanos() >= RETRY_NANOS;
      return due ? read(own, self, nowNanos) : Step.to(own);
    }
    NodeTenure tenure = own.item().get().value();
    if (nowNanos - own.renewedNanos() < TenureTerm.renewNanos(tenure)) {
      return Step.to(own);
    }
    Step<Registration, TenureEffect> reading = read(own, self, nowNanos);
    boolean silent = nowNanos - own.tableNanos() > TenureTerm.leaseNanos(tenure) / 2;
    return silent && mayAskWitnesses(own, nowNanos)
        ? askWitnesses(reading, tenure, nowNanos)
        : reading;
  }

  private static Step<Registration, TenureEffect> read(
      Registration own, NodeId self, long nowNanos) {
    return Step.to(
        own.renewingAt(nowNanos),
        new TenureEffect.ReadNode(new NodeTenure.Ref(self, own.generation()), nowNanos));
  }

  /** While a write may still change who the witnesses are, nobody knows whom to ask. */
  private static boolean mayAskWitnesses(Registration own, long nowNanos) {
    return own.validAt(nowNanos)
        && !own.writing()
        && nowNanos - own.tableNanos() < TenureTerm.OUTAGE_LIMIT_NANOS;
  }

  private static Step<Registration, TenureEffect> askWitnesses(
      Step<Registration, TenureEffect> before, NodeTenure tenure, long nowNanos) {
    Registration own = before.state();
    long round = own.round().number() + 1;
    Vector<TenureEffect> questions =
        tenure
            .witnesses()
            .map(
                witness ->
                    new TenureEffect.Send(
                        witness,
                        new QuotaMessage.Confirm(own.generation(), round, tenure.leaseMillis())));
    return Step.to(
        own.withRound(new Registration.Round(round, nowNanos, HashSet.empty())),
        before.effects().appendAll(questions));
  }

  /** Counts a witness's confirmation. */
  static Registration confirmed(
      Registration own, NodeId witness, QuotaMessage.Confirmed answer, long nowNanos) {
    Registration.Round round = own.round();
    boolean current = answer.generation() == own.generation() && answer.round() == round.number();
    if (!current || !mayAskWitnesses(own, nowNanos)) {
      return own;
    }
    NodeTenure tenure = own.item().get().value();
    if (!tenure.witnesses().contains(witness)) {
      return own;
    }
    Registration.Round next =
        new Registration.Round(round.number(), round.sentNanos(), round.confirmed().add(witness));
    Registration counted = own.withRound(next);
    if (next.confirmed().size() < TenureTerm.quorum(tenure.witnesses().size())) {
      return counted;
    }
    long untilNanos = round.sentNanos() + TenureTerm.leaseNanos(tenure);
    return counted.validUntil(Math.max(own.validUntilNanos(), untilNanos));
  }

  /** Takes what a read of the own record has shown; a record that is ended or gone ends it. */
  static Step<Registration, TenureEffect> read(
      Registration own, TenureEvent.NodeRead event, Vector<NodeId> members) {
    if (event.result().isLeft()) {
      return Step.to(own);
    }
    Option<Versioned<NodeTenure>> shown = event.result().get();
    if (shown.isEmpty()) {
      return own.item().isDefined()
          ? Step.to(ended(own, event.nowNanos()))
          : rewrite(own, fresh(own, event.ref().node(), members), Option.none());
    }
    Versioned<NodeTenure> item = shown.get();
    if (item.value().fenced()) {
      return Step.to(ended(own, event.nowNanos()));
    }
    boolean unchanged = own.item().exists(known -> known.version() == item.version());
    boolean older = own.item().exists(known -> known.version() > item.version());
    if (older) {
      return Step.to(own);
    }
    Registration renewed = own.readAt(event.sentNanos(), TenureTerm.leaseNanos(item.value()));
    if (own.writing() && unchanged) {
      return rewrite(renewed, refreshed(item.value(), members), Option.some(item.version()));
    }
    return refreshing(renewed.withItem(item), members);
  }

  private static Step<Registration, TenureEffect> rewrite(
      Registration own, NodeTenure next, Option<Long> expectedVersion) {
    return Step.to(own.whileWriting(), new TenureEffect.WriteNode(next, expectedVersion));
  }

  private static NodeTenure refreshed(NodeTenure tenure, Vector<NodeId> members) {
    return new NodeTenure(
        tenure.node(),
        tenure.generation(),
        TenureTerm.witnesses(tenure.node(), members),
        tenure.leaseMillis(),
        false);
  }

  /** Names other witnesses when too many of those named have left. */
  private static Step<Registration, TenureEffect> refreshing(
      Registration own, Vector<NodeId> members) {
    Versioned<NodeTenure> item = own.item().get();
    NodeTenure next = refreshed(item.value(), members);
    int kept = item.value().witnesses().count(members::contains);
    boolean stale = kept < next.witnesses().size() * KEPT_WITNESSES_PART;
    return stale ? rewrite(own, next, Option.some(item.version())) : Step.to(own);
  }

  /**
   * Takes the answer to a write of the own record; one that is lost is resolved by the next read.
   */
  static Step<Registration, TenureEffect> written(
      Registration own, Either<Failure, Versioned<NodeTenure>> result, NodeId self, long nowNanos) {
    if (result.isRight()) {
      boolean late = own.item().exists(known -> known.version() > result.get().version());
      return late ? Step.to(own) : read(own.withItem(result.get()), self, nowNanos);
    }
    boolean conflict = result.getLeft().code() == ResultCode.PLATFORM_CONDITION_FAILED;
    return conflict ? read(own, self, nowNanos) : Step.to(own);
  }

  /** The next tenure, which has no record and no partition yet. */
  static Registration ended(Registration own, long nowNanos) {
    return Registration.none(own.generation() + 1, nowNanos);
  }
}
