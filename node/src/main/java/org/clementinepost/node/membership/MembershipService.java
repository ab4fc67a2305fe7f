package org.clementinepost.node.membership;

import com.google.common.flogger.FluentLogger;
import io.vavr.collection.Vector;
import java.time.Duration;
import org.clementinepost.api.Member;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.node.peer.PeerService;
import org.clementinepost.node.peer.PeerServiceMessage;
import org.clementinepost.policy.membership.MembershipEffect;
import org.clementinepost.policy.membership.MembershipEvent;
import org.clementinepost.policy.membership.MembershipPolicy;
import org.clementinepost.policy.membership.MembershipState;
import org.clementinepost.storage.PlatformService;
import reactor.core.publisher.Mono;

/**
 * Tracks the live nodes of the fleet: runs {@link MembershipPolicy} as a task.
 *
 * <p>It uses the state of the links, messages of other nodes and the registrations in the
 * platform's table.
 */
public final class MembershipService implements Behaviour<MembershipMessage> {
  /** The name under which the service is registered. */
  public static final ServiceName<MembershipMessage> NAME =
      ServiceName.of("membership", MembershipMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long TICK_MILLIS = 200;
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(500);
  private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(5);

  private final TaskContext<MembershipMessage> context;
  private final Registrations registrations;
  private final Address<PeerServiceMessage> peers;
  private final Behaviour<MembershipEvent> decision;
  private Vector<Member> others = Vector.empty();
  private Vector<Reply<Vector<Member>>> listeners = Vector.empty();

  private MembershipService(
      TaskContext<MembershipMessage> context, Member self, Registrations registrations) {
    this.context = context;
    this.registrations = registrations;
    this.peers = context.registry().find(PeerService.NAME);
    this.decision =
        Behaviour.ofDecision(
            MembershipState.of(self, context.clock().nowMillis()),
            event -> event,
            new MembershipPolicy(),
            this::handle);
    context.sendEvery(NAME.text(), 0, TICK_MILLIS, new MembershipMessage.Tick());
  }

  /** Returns the definition of the service. */
  public static ServiceDefinition<MembershipMessage> definition(Member self) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.CONTROL_MAILBOX_MESSAGES,
        context ->
            new MembershipService(
                context,
                self,
                new Registrations(
                    PlatformService.platformOf(context.registry()).table(),
                    System::currentTimeMillis)));
  }

  @Override
  public void receive(MembershipMessage message) {
    if (message instanceof MembershipMessage.Subscribe subscribe) {
      listeners = listeners.append(subscribe.listener());
      subscribe.listener().send(others);
      return;
    }
    decision.receive(toEvent(message));
  }

  private MembershipEvent toEvent(MembershipMessage message) {
    long nowMillis = context.clock().nowMillis();
    long random = context.random().nextLong();
    if (message instanceof MembershipMessage.FromPeer fromPeer) {
      return new MembershipEvent.Received(fromPeer.from(), fromPeer.message(), nowMillis);
    }
    if (message instanceof MembershipMessage.LinkUp up) {
      return new MembershipEvent.LinkUp(up.node(), nowMillis);
    }
    if (message instanceof MembershipMessage.LinkDown down) {
      return new MembershipEvent.LinkDown(down.node(), nowMillis);
    }
    if (message instanceof MembershipMessage.ProbeCompleted probe) {
      return new MembershipEvent.ProbeCompleted(
          probe.requester(), probe.target(), probe.reachable(), nowMillis);
    }
    if (message instanceof MembershipMessage.Registered registered) {
      return new MembershipEvent.Registered(registered.succeeded(), nowMillis, random);
    }
    if (message instanceof MembershipMessage.Sampled sampled) {
      return new MembershipEvent.Sampled(sampled.members(), nowMillis, random);
    }
    return message instanceof MembershipMessage.Leave
        ? new MembershipEvent.Leave(nowMillis)
        : new MembershipEvent.Tick(nowMillis, random);
  }

  private void handle(MembershipEffect effect) {
    if (effect instanceof MembershipEffect.Send send) {
      peers.send(new PeerServiceMessage.SendToMember(send.to(), send.message()));
      return;
    }
    if (effect instanceof MembershipEffect.SetLinks links) {
      peers.send(new PeerServiceMessage.SetLinks(links.members()));
      return;
    }
    if (effect instanceof MembershipEffect.PublishView view) {
      publishView(view.others());
      return;
    }
    if (effect instanceof MembershipEffect.Probe probe) {
      probe(probe);
      return;
    }
    if (effect instanceof MembershipEffect.MemberChanged changed) {
      logger.atInfo().log(
          "event=member node=%s incarnation=%d refutation=%d status=%s cause=%s",
          changed.update().member().node(),
          changed.update().member().incarnation(),
          changed.update().refutation(),
          changed.update().status(),
          changed.cause());
      return;
    }
    updateRegistrations(effect);
  }

  private void publishView(Vector<Member> nextOthers) {
    others = nextOthers;
    logger.atInfo().log("event=membership others=%d", others.size());
    listeners.forEach(listener -> listener.send(others));
  }

  private void probe(MembershipEffect.Probe probe) {
    Mono.<Boolean>create(
            sink -> peers.send(new PeerServiceMessage.Probe(probe.target(), sink::success)))
        .timeout(PROBE_TIMEOUT, Mono.just(false), context.scheduler())
        .subscribe(
            reachable ->
                context
                    .self()
                    .send(
                        new MembershipMessage.ProbeCompleted(
                            probe.requester(), probe.target(), reachable)));
  }

  private void updateRegistrations(MembershipEffect effect) {
    if (effect instanceof MembershipEffect.Register register) {
      registrations
          .register(register.self())
          .timeout(PLATFORM_TIMEOUT, Mono.just(false), context.scheduler())
          .subscribe(succeeded -> context.self().send(new MembershipMessage.Registered(succeeded)));
      return;
    }
    if (effect instanceof MembershipEffect.SampleRegistrations sample) {
      registrations
          .sample(sample.startPosition())
          .timeout(PLATFORM_TIMEOUT, Mono.just(Vector.empty()), context.scheduler())
          .subscribe(members -> context.self().send(new MembershipMessage.Sampled(members)));
      return;
    }
    registrations.remove(((MembershipEffect.Unregister) effect).self()).subscribe();
  }
}
