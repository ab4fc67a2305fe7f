package org.clementinepost.node.membership;

import com.google.common.flogger.FluentLogger;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.Member;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.kernel.TimerService;
import org.clementinepost.platform.Platform;
import org.clementinepost.platform.PlatformService;

/** Registers the node in the table and learns there of the others. */
public final class MembershipService implements Behaviour<MembershipMessage> {
  /** The name by which the service is found. */
  public static final ServiceName<MembershipMessage> NAME =
      ServiceName.of("membership", MembershipMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long POLL_MILLIS = 1_000;

  private final TaskContext<MembershipMessage> context;
  private final Member self;
  private final MemberTable table;
  private Vector<Member> others = Vector.empty();
  private Vector<Reply<Vector<Member>>> listeners = Vector.empty();

  private MembershipService(
      TaskContext<MembershipMessage> context, Member self, Platform platform) {
    this.context = context;
    this.self = self;
    this.table = new MemberTable(platform.table());
    context
        .registry()
        .find(TimerService.NAME)
        .send(
            new TimerService.Every(
                NAME.text(),
                0,
                POLL_MILLIS,
                () -> context.self().send(new MembershipMessage.Poll())));
  }

  /** Defines the service on a node. */
  public static ServiceDefinition<MembershipMessage> definition(Member self) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.CONTROL_MAILBOX_MESSAGES,
        context ->
            new MembershipService(context, self, PlatformService.platformOf(context.registry())));
  }

  @Override
  public void receive(MembershipMessage message) {
    if (message instanceof MembershipMessage.Subscribe subscribe) {
      listeners = listeners.append(subscribe.listener());
      subscribe.listener().send(others);
      return;
    }
    if (message instanceof MembershipMessage.Poll) {
      table
          .registerAndList(self)
          .subscribe(members -> context.self().send(new MembershipMessage.Loaded(members)));
      return;
    }
    loaded(((MembershipMessage.Loaded) message).members());
  }

  private void loaded(Either<Failure, Vector<Member>> members) {
    if (members.isLeft()) {
      logger.atWarning().log("event=membership-poll result=%s", members.getLeft());
      return;
    }
    Vector<Member> next = members.get().reject(member -> member.node().equals(self.node()));
    if (next.equals(others)) {
      return;
    }
    others = next;
    logger.atInfo().log("event=membership others=%d", others.size());
    listeners.forEach(listener -> listener.send(others));
  }
}
