package org.clementinepost.ctl;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.storage.config.PublishOutcome;
import org.clementinepost.storage.config.PublishOutcomes;
import org.clementinepost.storage.config.check.ConfigurationChecker;
import org.clementinepost.storage.config.source.ConfigurationFolder;

/** Publishes a folder unless another operator has published since its base version. */
final class PublishCommand implements Command {
  @Override
  public Outcome run(CommandContext context) {
    return ConfigurationChecker.check(ConfigurationFolder.read(context.folder()))
        .fold(FindingsFormatter::toOutcome, folder -> run(context, folder));
  }

  private static Outcome run(CommandContext context, Snapshot folder) {
    Either<Failure, Snapshot> base =
        context.store().load(BaseVersionFile.baseVersion(context)).block();
    if (base.isLeft()) {
      return Outcome.of(base.getLeft());
    }
    PublishOutcome outcome =
        context
            .publisher()
            .publish(base.get(), folder, context.stamp("publish " + context.argument()))
            .block();
    PublishOutcomes.toSnapshot(outcome)
        .forEach(published -> BaseVersionFile.write(context.folder(), published.version()));
    return PublishReport.of(outcome).build();
  }
}
