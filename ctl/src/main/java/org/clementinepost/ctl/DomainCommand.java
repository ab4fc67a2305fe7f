package org.clementinepost.ctl;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.FailureDomain;
import org.clementinepost.api.config.Snapshot;

/** Takes a failure domain out of service or puts it back. */
final class DomainCommand {
  private DomainCommand() {}

  static Command out() {
    return context -> run(context, false);
  }

  static Command in() {
    return context -> run(context, true);
  }

  private static Outcome run(CommandContext context, boolean inService) {
    FailureDomainId id = new FailureDomainId(context.argument());
    String note = "domain " + (inService ? "in " : "out ") + id;
    return PublishReport.of(
            context
                .editor()
                .edit(head -> setInService(head, id, inService), context.stamp(note))
                .block())
        .build();
  }

  private static Either<Failure, Snapshot> setInService(
      Snapshot head, FailureDomainId id, boolean inService) {
    return head.domains()
        .get(id)
        .map(domain -> head.with(new FailureDomain(id, domain.region(), inService)))
        .toEither(() -> Failure.of(ResultCode.NO_SUCH_OBJECT, "failure-domain/" + id));
  }
}
