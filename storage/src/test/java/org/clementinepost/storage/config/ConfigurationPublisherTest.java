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

/**
 * Tests that races between operators, lost requests and lost replies lose or duplicate no
 * publication.
 */
final class ConfigurationPublisherTest {
  private static final String OWN_ID = "mine";
  private static final String OTHER_ID = "theirs";

  private final FaultyPlatform faulty = new FaultyPlatform();
  private final ConfigurationPublisher publisher =
      new ConfigurationPublisher(faulty.platform(), Duration.ZERO);
  private final ConfigurationStore store = new ConfigurationStore(faulty.withoutFaults());

  private static Snapshot withCustomer(Snapshot base, String customer, double ratePerSecond) {
    return base.with(new Customer(new CustomerId(customer), ratePerSecond, 10, 1));
  }

  private static PublicationStamp stamp(String publicationId) {
    return new PublicationStamp(publicationId, "operator", 1, "");
  }

  private PublishOutcome publish(Snapshot base, Snapshot next, String publicationId) {
    return publisher.publish(base, next, stamp(publicationId)).block();
  }

  private Snapshot publishAsOther(Snapshot base, Snapshot next) {
    ConfigurationPublisher other =
        new ConfigurationPublisher(faulty.withoutFaults(), Duration.ZERO);
    PublishOutcome outcome = other.publish(base, next, stamp(OTHER_ID)).block();
    return ((PublishOutcome.Published) outcome).snapshot();
  }

  private Snapshot head() {
    return store.loadNewerThan(Snapshot.empty()).block().get();
  }

  @Test
  void publishesTheFirstVersion() {
    PublishOutcome outcome =
        publish(Snapshot.empty(), withCustomer(Snapshot.empty(), "a", 1), OWN_ID);

    assertThat(outcome).isInstanceOf(PublishOutcome.Published.class);
    assertThat(head()).isEqualTo(withCustomer(Snapshot.empty(), "a", 1).withVersion(1));
  }

  @Test
  void publishesNothingWhenObjectsAreUnchanged() {
    Snapshot first = publishAsOther(Snapshot.empty(), withCustomer(Snapshot.empty(), "a", 1));

    assertThat(publish(first, first, OWN_ID)).isEqualTo(new PublishOutcome.Unchanged(first));
    assertThat(head().version()).isEqualTo(1);
  }

  @Test
  void conflictListsObjectsChangedByEachPublisher() {
    Snapshot base = publishAsOther(Snapshot.empty(), withCustomer(Snapshot.empty(), "a", 1));
    Snapshot theirs = publishAsOther(base, withCustomer(withCustomer(base, "a", 2), "b", 2));

    PublishOutcome outcome =
        publish(base, withCustomer(withCustomer(base, "a", 3), "c", 3), OWN_ID);

    PublishOutcome.Conflict conflict = (PublishOutcome.Conflict) outcome;
    assertThat(conflict.changedByOthers().mkString(" ")).isEqualTo("customer/a customer/b");
    assertThat(conflict.changedHere().mkString(" ")).isEqualTo("customer/a customer/c");
    assertThat(conflict.changedByBoth().mkString(" ")).isEqualTo("customer/a");
    assertThat(conflict.head()).isEqualTo(theirs);
    assertThat(head()).isEqualTo(theirs);
  }

  @Test
  void reportsConflictWhenOtherPublishesBetweenReadAndWrite() {
    Snapshot base = publishAsOther(Snapshot.empty(), withCustomer(Snapshot.empty(), "a", 1));
    faulty.enqueueWriteFault(
        FaultyPlatform.Fault.precededBy(() -> publishAsOther(base, withCustomer(base, "a", 2))));

    assertThat(publish(base, withCustomer(base, "a", 3), OWN_ID))
        .isInstanceOf(PublishOutcome.Conflict.class);
    assertThat(head()).isEqualTo(withCustomer(base, "a", 2).withVersion(2));
  }

  @Test
  void resolvesLostReplyByPublicationId() {
    faulty.enqueueWriteFault(FaultyPlatform.Fault.loseReply());

    assertThat(publish(Snapshot.empty(), withCustomer(Snapshot.empty(), "a", 1), OWN_ID))
        .isInstanceOf(PublishOutcome.Published.class);
    assertThat(store.history(9).block().get().map(row -> row.stamp().publicationId()))
        .containsExactly(OWN_ID);
  }

  @Test
  void publishesOnceWhenReplyAndReadBackAreLost() {
    faulty.enqueueWriteFault(FaultyPlatform.Fault.loseReply());
    faulty.enqueueReadFault(call -> call.get());
    faulty.enqueueReadFault(FaultyPlatform.Fault.loseReply());

    assertThat(publish(Snapshot.empty(), withCustomer(Snapshot.empty(), "a", 1), OWN_ID))
        .isInstanceOf(PublishOutcome.Published.class);
    assertThat(head().version()).isEqualTo(1);
  }

  @Test
  void resendsLostRequest() {
    faulty.enqueueWriteFault(FaultyPlatform.Fault.loseRequest());

    assertThat(publish(Snapshot.empty(), withCustomer(Snapshot.empty(), "a", 1), OWN_ID))
        .isInstanceOf(PublishOutcome.Published.class);
    assertThat(head().version()).isEqualTo(1);
  }

  @Test
  void reportsConflictWhenRequestIsLostAndOtherPublishes() {
    Snapshot base = publishAsOther(Snapshot.empty(), withCustomer(Snapshot.empty(), "a", 1));
    faulty.enqueueWriteFault(
        call -> {
          publishAsOther(base, withCustomer(base, "b", 2));
          return FaultyPlatform.Fault.<Vector<ItemWrite>>loseRequest().apply(call);
        });

    PublishOutcome outcome = publish(base, withCustomer(base, "c", 3), OWN_ID);

    assertThat(((PublishOutcome.Conflict) outcome).changedByOthers().mkString())
        .isEqualTo("customer/b");
  }

  @Test
  void reportsUncertainOutcomeWhenOutageOutlastsRetries() {
    for (int attempt = 0; attempt < 5; attempt++) {
      faulty.enqueueWriteFault(FaultyPlatform.Fault.loseRequest());
    }

    PublishOutcome outcome =
        publish(Snapshot.empty(), withCustomer(Snapshot.empty(), "a", 1), OWN_ID);

    assertThat(((PublishOutcome.Failed) outcome).failure().code())
        .isEqualTo(ResultCode.PUBLISH_UNCERTAIN);
    assertThat(((PublishOutcome.Failed) outcome).failure().detail()).contains(OWN_ID);
  }

  @Test
  void reappliesEditAfterConflict() {
    Snapshot base = publishAsOther(Snapshot.empty(), withCustomer(Snapshot.empty(), "a", 1));
    faulty.enqueueWriteFault(
        FaultyPlatform.Fault.precededBy(() -> publishAsOther(base, withCustomer(base, "b", 2))));
    Platform platform = faulty.platform();

    PublishOutcome outcome =
        new ConfigurationEditor(platform, publisher)
            .edit(head -> Either.right(withCustomer(head, "c", 3)), stamp(OWN_ID))
            .block();

    assertThat(outcome).isInstanceOf(PublishOutcome.Published.class);
    assertThat(head()).isEqualTo(withCustomer(withCustomer(base, "b", 2), "c", 3).withVersion(3));
  }
}
