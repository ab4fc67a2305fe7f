package org.clementinepost.storage.config;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.time.Duration;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.Customer;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.storage.ItemWrite;
import org.clementinepost.storage.Platform;
import org.junit.jupiter.api.Test;

/** Races between operators, lost answers, and what is never lost by them. */
final class ConfigurationPublisherTest {
  private static final String MINE = "mine";
  private static final String THEIRS = "theirs";

  private final FaultyPlatform faulty = new FaultyPlatform();
  private final ConfigurationPublisher publisher =
      new ConfigurationPublisher(faulty.platform(), Duration.ZERO);
  private final ConfigurationStore store = new ConfigurationStore(faulty.sound());

  private static Snapshot with(Snapshot base, String customer, double ratePerSecond) {
    return base.with(new Customer(new CustomerId(customer), ratePerSecond, 10, 1));
  }

  private static PublicationStamp stamp(String publicationId) {
    return new PublicationStamp(publicationId, "operator", 1, "");
  }

  private PublishOutcome publish(Snapshot base, Snapshot next, String publicationId) {
    return publisher.publish(base, next, stamp(publicationId)).block();
  }

  private Snapshot published(Snapshot base, Snapshot next) {
    ConfigurationPublisher other = new ConfigurationPublisher(faulty.sound(), Duration.ZERO);
    PublishOutcome outcome = other.publish(base, next, stamp(THEIRS)).block();
    return ((PublishOutcome.Published) outcome).snapshot();
  }

  private Snapshot head() {
    return store.loadNewerThan(Snapshot.empty()).block().get();
  }

  @Test
  void publishesTheFirstVersion() {
    PublishOutcome outcome = publish(Snapshot.empty(), with(Snapshot.empty(), "a", 1), MINE);

    assertThat(outcome).isInstanceOf(PublishOutcome.Published.class);
    assertThat(head()).isEqualTo(with(Snapshot.empty(), "a", 1).withVersion(1));
  }

  @Test
  void publishesNothingWhenNothingDiffers() {
    Snapshot first = published(Snapshot.empty(), with(Snapshot.empty(), "a", 1));

    assertThat(publish(first, first, MINE)).isEqualTo(new PublishOutcome.Unchanged(first));
    assertThat(head().version()).isEqualTo(1);
  }

  @Test
  void laterPublisherGetsTheObjectsThatDiffer() {
    Snapshot base = published(Snapshot.empty(), with(Snapshot.empty(), "a", 1));
    Snapshot theirs = published(base, with(with(base, "a", 2), "b", 2));

    PublishOutcome outcome = publish(base, with(with(base, "a", 3), "c", 3), MINE);

    PublishOutcome.Conflict conflict = (PublishOutcome.Conflict) outcome;
    assertThat(conflict.theirs().mkString(" ")).isEqualTo("customer/a customer/b");
    assertThat(conflict.mine().mkString(" ")).isEqualTo("customer/a customer/c");
    assertThat(conflict.both().mkString(" ")).isEqualTo("customer/a");
    assertThat(conflict.head()).isEqualTo(theirs);
    assertThat(head()).isEqualTo(theirs);
  }

  @Test
  void publisherOvertakenBetweenItsReadAndItsWriteGetsAConflict() {
    Snapshot base = published(Snapshot.empty(), with(Snapshot.empty(), "a", 1));
    faulty.nextWrite(FaultyPlatform.Fault.after(() -> published(base, with(base, "a", 2))));

    assertThat(publish(base, with(base, "a", 3), MINE)).isInstanceOf(PublishOutcome.Conflict.class);
    assertThat(head()).isEqualTo(with(base, "a", 2).withVersion(2));
  }

  @Test
  void lostReplyIsResolvedByThePublicationId() {
    faulty.nextWrite(FaultyPlatform.Fault.loseReply());

    assertThat(publish(Snapshot.empty(), with(Snapshot.empty(), "a", 1), MINE))
        .isInstanceOf(PublishOutcome.Published.class);
    assertThat(store.history(9).block().get().map(row -> row.stamp().publicationId()))
        .containsExactly(MINE);
  }

  @Test
  void lostReplyAndLostReadBackAreTriedAgainAndPublishOnce() {
    faulty.nextWrite(FaultyPlatform.Fault.loseReply());
    faulty.nextRead(call -> call.get());
    faulty.nextRead(FaultyPlatform.Fault.loseReply());

    assertThat(publish(Snapshot.empty(), with(Snapshot.empty(), "a", 1), MINE))
        .isInstanceOf(PublishOutcome.Published.class);
    assertThat(head().version()).isEqualTo(1);
  }

  @Test
  void lostRequestIsSentAgain() {
    faulty.nextWrite(FaultyPlatform.Fault.loseRequest());

    assertThat(publish(Snapshot.empty(), with(Snapshot.empty(), "a", 1), MINE))
        .isInstanceOf(PublishOutcome.Published.class);
    assertThat(head().version()).isEqualTo(1);
  }

  @Test
  void lostRequestThatSomebodyElseOvertookIsAConflict() {
    Snapshot base = published(Snapshot.empty(), with(Snapshot.empty(), "a", 1));
    faulty.nextWrite(
        call -> {
          published(base, with(base, "b", 2));
          return FaultyPlatform.Fault.<Vector<ItemWrite>>loseRequest().apply(call);
        });

    PublishOutcome outcome = publish(base, with(base, "c", 3), MINE);

    assertThat(((PublishOutcome.Conflict) outcome).theirs().mkString()).isEqualTo("customer/b");
  }

  @Test
  void outageThatLastsLeavesTheOutcomeUncertain() {
    for (int attempt = 0; attempt < 5; attempt++) {
      faulty.nextWrite(FaultyPlatform.Fault.loseRequest());
    }

    PublishOutcome outcome = publish(Snapshot.empty(), with(Snapshot.empty(), "a", 1), MINE);

    assertThat(((PublishOutcome.Failed) outcome).failure().code())
        .isEqualTo(ResultCode.PUBLISH_UNCERTAIN);
    assertThat(((PublishOutcome.Failed) outcome).failure().detail()).contains(MINE);
  }

  @Test
  void editIsMadeAnewToWhatSomebodyElseHasPublished() {
    Snapshot base = published(Snapshot.empty(), with(Snapshot.empty(), "a", 1));
    faulty.nextWrite(FaultyPlatform.Fault.after(() -> published(base, with(base, "b", 2))));
    Platform platform = faulty.platform();

    PublishOutcome outcome =
        new ConfigurationEditor(platform, publisher)
            .edit(head -> Either.right(with(head, "c", 3)), stamp(MINE))
            .block();

    assertThat(outcome).isInstanceOf(PublishOutcome.Published.class);
    assertThat(head()).isEqualTo(with(with(base, "b", 2), "c", 3).withVersion(3));
  }
}
