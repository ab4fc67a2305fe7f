package org.clementinepost.ctl;

import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.ObjectKind;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.storage.config.check.ConfigurationChecker;
import org.clementinepost.storage.config.source.ConfigurationFolder;

/** Checks the configuration objects in a folder. */
final class CheckCommand implements Command {
  @Override
  public Outcome run(CommandContext context) {
    return ConfigurationChecker.check(ConfigurationFolder.read(context.folder()))
        .fold(FindingsFormatter::toOutcome, CheckCommand::summary);
  }

  private static Outcome summary(Snapshot snapshot) {
    Outcome.Builder outcome = Outcome.builder(ResultCode.OK);
    for (ObjectKind kind : ObjectKind.values()) {
      int count = snapshot.objects().count(object -> object.kind() == kind);
      outcome.field(kind.folder(), count).line(count + " " + kind.folder());
    }
    return outcome.line("no problems found").build();
  }
}
