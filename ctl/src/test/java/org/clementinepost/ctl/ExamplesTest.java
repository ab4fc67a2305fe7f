package org.clementinepost.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.config.ApiKey;
import org.clementinepost.api.config.Customer;
import org.clementinepost.api.config.Route;
import org.clementinepost.api.config.Service;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.storage.config.check.ConfigurationChecker;
import org.clementinepost.storage.config.source.ConfigurationFolder;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that both example deployments are complete and that their demonstration keys are the
 * documented ones.
 */
final class ExamplesTest {
  private static Snapshot example(String name) {
    return ConfigurationChecker.check(ConfigurationFolder.read(Path.of("..", "examples", name)))
        .get();
  }

  @ParameterizedTest
  @ValueSource(strings = {"blue-mahoe", "mshono"})
  void hasThreeDomainsEightCustomersAndOneOpenRoute(String name) {
    Snapshot snapshot = example(name);

    assertThat(snapshot.domains()).hasSize(3);
    assertThat(snapshot.services()).hasSize(3);
    assertThat(snapshot.customers()).hasSize(8);
    assertThat(snapshot.routes().routes().count(Route::openToAll)).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({
    "blue-mahoe, expiry-desk, 9",
    "blue-mahoe, swap-office, 12",
    "blue-mahoe, inspection-vault, 6",
    "mshono, tracker, 9",
    "mshono, bookings, 12",
    "mshono, quotes, 6"
  })
  void hasExpectedNumberOfBackendServers(String name, String service, int backendServers) {
    assertThat(example(name).services().get(new ServiceId(service)).map(Service::minBackendServers))
        .containsExactly(backendServers);
  }

  @ParameterizedTest
  @ValueSource(strings = {"blue-mahoe", "mshono"})
  void everyCustomerHasDocumentedDemonstrationKey(String name) {
    Snapshot snapshot = example(name);

    for (Customer customer : snapshot.customers().values()) {
      String key = "demo-" + name + "-" + customer.name();
      assertThat(snapshot.keyByHash(ApiKey.hash(key)).map(found -> found.customer()))
          .containsExactly(customer.id());
    }
  }
}
