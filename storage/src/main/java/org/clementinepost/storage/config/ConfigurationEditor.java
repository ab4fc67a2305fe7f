package org.clementinepost.storage.config;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.storage.Platform;
import org.clementinepost.storage.config.check.ConfigurationChecker;
import org.clementinepost.storage.config.source.Finding;
import reactor.core.publisher.Mono;

/**
 * Applies an edit to the newest version and publishes the result.
 *
 * <p>If another operator publishes in the meantime, the edit is applied to the version that they
 * have published. It fails if it no longer applies; the conflict is returned after {@value
 * #MAX_ATTEMPTS} attempts.
 */
public final class ConfigurationEditor {
  private static final int MAX_ATTEMPTS = 8;

  private final ConfigurationStore store;
  private final ConfigurationPublisher publisher;

  public ConfigurationEditor(Platform platform, ConfigurationPublisher publisher) {
    this.store = new ConfigurationStore(platform);
    this.publisher = publisher;
  }

  /** Applies an edit and publishes the result. */
  public Mono<PublishOutcome> edit(ConfigurationEdit edit, PublicationStamp stamp) {
    return store
        .loadNewerThan(Snapshot.empty())
        .flatMap(
            loaded ->
                loaded.fold(
                    failure -> Mono.just(new PublishOutcome.Failed(failure)),
                    head -> edit(head, edit, stamp, 1)));
  }

  private Mono<PublishOutcome> edit(
      Snapshot head, ConfigurationEdit edit, PublicationStamp stamp, int attempt) {
    Either<Failure, Snapshot> edited = edit.apply(head).flatMap(ConfigurationEditor::validate);
    if (edited.isLeft()) {
      return Mono.just(new PublishOutcome.Failed(edited.getLeft()));
    }
    return publisher
        .publish(head, edited.get(), stamp)
        .flatMap(
            outcome ->
                outcome instanceof PublishOutcome.Conflict conflict && attempt < MAX_ATTEMPTS
                    ? edit(conflict.head(), edit, stamp, attempt + 1)
                    : Mono.just(outcome));
  }

  private static Either<Failure, Snapshot> validate(Snapshot snapshot) {
    return ConfigurationChecker.check(snapshot).mapLeft(ConfigurationEditor::toFailure);
  }

  private static Failure toFailure(Vector<Finding> findings) {
    Finding first = findings.head();
    return Failure.of(first.code(), first.pointer() + ": " + first.problem() + "; " + first.hint());
  }
}
