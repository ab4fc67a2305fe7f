package org.clementinepost.ctl;

import io.vavr.collection.Vector;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.FailureDomain;
import org.clementinepost.api.config.ObjectKind;
import org.clementinepost.api.config.Snapshot;

/**
 * Shows the newest version, its objects, and the failure domains and backend servers out of
 * service.
 */
final class StatusCommand implements Command {
  @Override
  public Outcome run(CommandContext context) {
    return context
        .store()
        .loadNewerThan(Snapshot.empty())
        .block()
        .fold(Outcome::of, StatusCommand::show);
  }

  private static Outcome show(Snapshot snapshot) {
    Vector<String> domainsOut =
        snapshot
            .domains()
            .values()
            .reject(FailureDomain::inService)
            .map(FailureDomain::name)
            .toVector()
            .sorted();
    Vector<String> drained =
        snapshot.drains().values().map(drain -> drain.name()).toVector().sorted();
    Outcome.Builder outcome =
        Outcome.builder(ResultCode.OK)
            .field("version", snapshot.version())
            .line("version " + snapshot.version());
    for (ObjectKind kind : ObjectKind.values()) {
      int count = snapshot.objects().count(object -> object.kind() == kind);
      outcome.field(kind.folder(), count).line(count + " " + kind.folder());
    }
    return outcome
        .texts("failureDomainsOut", domainsOut.iterator())
        .texts("drained", drained.iterator())
        .line("failure domains out: " + joinOrNone(domainsOut))
        .line("backend servers drained: " + joinOrNone(drained))
        .build();
  }

  private static String joinOrNone(Vector<String> names) {
    return names.isEmpty() ? "none" : names.mkString(", ");
  }
}
