package org.clementinepost.storage.config;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.config.ApiKey;
import org.clementinepost.api.config.Customer;
import org.clementinepost.api.config.Delta;
import org.clementinepost.api.config.Drain;
import org.clementinepost.api.config.FailureDomain;
import org.clementinepost.api.config.Route;
import org.clementinepost.api.config.Service;
import org.clementinepost.api.config.Snapshot;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

/** Tests loading by deltas, from full snapshots, and with heads older than the current snapshot. */
final class ConfigurationStoreTest {
  private static final int VERSIONS = 130;
  private static final CustomerId CUSTOMER = new CustomerId("clinic");
  private static final ServiceId SERVICE = new ServiceId("desk");

  private final FaultyPlatform faulty = new FaultyPlatform();
  private final ConfigurationStore store = new ConfigurationStore(faulty.platform());

  private Snapshot publish(Snapshot base, Snapshot next) {
    PublishOutcome outcome =
        new ConfigurationPublisher(faulty.withoutFaults(), Duration.ZERO)
            .publish(base, next, PublicationStamp.of("operator", 1, ""))
            .block();
    return ((PublishOutcome.Published) outcome).snapshot();
  }

  private Vector<Snapshot> publishMany() {
    Vector<Snapshot> all = Vector.of(Snapshot.empty());
    for (int i = 1; i <= VERSIONS; i++) {
      Snapshot next = all.last().with(new Customer(new CustomerId("c" + i), i, i, 1));
      all = all.append(publish(all.last(), next));
    }
    return all;
  }

  private static Snapshot snapshotWithOneObjectOfEachKind() {
    return Snapshot.empty()
        .with(new Customer(CUSTOMER, 2.5, 3, 4))
        .with(new ApiKey("k", CUSTOMER, "ab".repeat(32)))
        .with(new Service(SERVICE, 60, 9, 2_000, 30_000, 1))
        .with(new FailureDomain(new FailureDomainId("kgn-a"), "jm-south", false))
        .with(new Route("r", "/desk", SERVICE, false, HashSet.of(CUSTOMER)))
        .with(new Drain(new BackendServerId("desk-1")));
  }

  @Test
  void returnsCurrentSnapshotWhenNothingIsPublished() {
    assertThat(store.loadUpdate(Snapshot.empty()).block().get())
        .isEqualTo(new ConfigurationUpdate(0, Snapshot.empty(), Vector.empty()));
  }

  @Test
  void roundTripsEveryKindOfObject() {
    Snapshot first = publish(Snapshot.empty(), snapshotWithOneObjectOfEachKind());

    assertThat(store.loadNewerThan(Snapshot.empty()).block().get()).isEqualTo(first);
    assertThat(SnapshotJson.readDelta(SnapshotJson.write(Delta.between(first, Snapshot.empty()))))
        .isEqualTo(Either.right(Delta.between(first, Snapshot.empty())));
  }

  @Test
  void loadsDeltasWhenReaderIsFewVersionsBehind() {
    Vector<Snapshot> all = publishMany();

    ConfigurationUpdate update = store.loadUpdate(all.get(VERSIONS - 3)).block().get();

    assertThat(update.snapshot()).isEqualTo(all.last());
    assertThat(update.deltas().map(Delta::toVersion))
        .containsExactly(VERSIONS - 2L, VERSIONS - 1L, (long) VERSIONS);
  }

  @Test
  void loadsFullSnapshotWhenReaderIsManyVersionsBehind() {
    Vector<Snapshot> all = publishMany();

    ConfigurationUpdate update = store.loadUpdate(all.get(1)).block().get();

    assertThat(update.snapshot()).isEqualTo(all.last());
    assertThat(update.deltas()).isEmpty();
    assertThat(store.head().block().get().get().fullVersion()).isEqualTo(128);
  }

  @Test
  void loadsOlderVersion() {
    Vector<Snapshot> all = publishMany();

    assertThat(store.load(70).block().get()).isEqualTo(all.get(70));
    assertThat(store.load(VERSIONS + 1).block().getLeft().code())
        .isEqualTo(ResultCode.NO_SUCH_OBJECT);
  }

  @Test
  void ignoresStaleHead() {
    Snapshot first = publish(Snapshot.empty(), snapshotWithOneObjectOfEachKind());
    Snapshot second = publish(first, first.without(first.drains().head()._2));
    var stale = faulty.withoutFaults().table().get(PublicationItem.historyKey(1)).block();
    faulty.enqueueReadFault(call -> Mono.just(stale));

    ConfigurationUpdate update = store.loadUpdate(second).block().get();

    assertThat(update).isEqualTo(new ConfigurationUpdate(1, second, Vector.empty()));
  }

  @Test
  void historyReturnsNewestVersions() {
    publishMany();

    assertThat(store.history(3).block().get().map(Publication::version))
        .containsExactly(VERSIONS - 2L, VERSIONS - 1L, (long) VERSIONS);
  }

  @Test
  void failsWhenHeadReferencesMissingObject() {
    var row =
        new Publication(1, PublicationStamp.of("operator", 1, ""), "deltas/x", 1, "snapshots/x");
    faulty.enqueueReadFault(
        call ->
            Mono.just(Either.right(Option.some(PublicationItem.write(PublicationItem.HEAD, row)))));

    assertThat(store.loadUpdate(Snapshot.empty()).block().getLeft().code())
        .isEqualTo(ResultCode.PLATFORM_NOT_FOUND);
  }
}
