package org.clementinepost.storage.config.check;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.ServiceId;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.storage.config.source.ConfigurationFolder;
import org.clementinepost.storage.config.source.Finding;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests each check on a valid configuration with one error. */
final class ConfigurationCheckerTest {
  private static final String SERVICE =
      "{\"name\":\"desk\",\"floorPercent\":60,\"minBackendServers\":9,\"timeoutMillis\":2000,"
          + "\"coldStartMillis\":30000,\"coldStartSlots\":1}";
  private static final String HASH = "0".repeat(64);
  private static final String KEY =
      "{\"name\":\"k\",\"customer\":\"clinic\",\"sha256Hex\":\"" + HASH + "\"}";

  @TempDir private Path folder;

  @BeforeEach
  void writeValidConfiguration() throws IOException {
    write("failure-domains/a.json", "{\"name\":\"kgn-a\",\"region\":\"jm-south\"}");
    write("services/desk.json", SERVICE);
    write("customers/clinic.json", "{\"name\":\"clinic\",\"ratePerSecond\":2,\"burstRequests\":5}");
    write("keys/k.json", KEY);
    write(
        "routes/desk.json",
        "{\"name\":\"desk\",\"pathPrefix\":\"/desk\",\"service\":\"desk\","
            + "\"customers\":[\"clinic\"]}");
    write("drains/one.json", "{\"server\":\"desk-1\"}");
  }

  private void write(String file, String json) throws IOException {
    Path path = folder.resolve(file);
    Files.createDirectories(path.getParent());
    Files.writeString(path, json);
  }

  private Either<Vector<Finding>, Snapshot> check() {
    return ConfigurationChecker.check(ConfigurationFolder.read(folder));
  }

  private void assertSingleFinding(String place, ResultCode code, String hint) {
    assertThat(check().getLeft().map(finding -> finding.file() + finding.pointer()))
        .containsExactly(place);
    assertThat(check().getLeft().head().code()).isEqualTo(code);
    assertThat(check().getLeft().head().hint()).contains(hint);
  }

  @Test
  void validConfigurationYieldsSnapshot() {
    assertThat(check().get().objects()).hasSize(6);
    assertThat(ConfigurationChecker.check(check().get()).isRight()).isTrue();
  }

  @Test
  void suggestsKnownFieldWhenUnitSuffixDiffers() throws IOException {
    write(
        "customers/clinic.json",
        "{\"name\":\"clinic\",\"ratePerSecond\":2,\"burstRequests\":5,\"weightPercent\":3}");

    assertSingleFinding(
        "customers/clinic.json/weightPercent",
        ResultCode.CONFIGURATION_UNKNOWN_FIELD,
        "write weight, a whole number of parts");
  }

  @Test
  void reportsMissingField() throws IOException {
    write("customers/clinic.json", "{\"name\":\"clinic\",\"ratePerSecond\":2}");

    assertSingleFinding(
        "customers/clinic.json", ResultCode.CONFIGURATION_MISSING_FIELD, "add burstRequests");
  }

  @Test
  void reportsValueInWrongUnit() throws IOException {
    write("services/desk.json", SERVICE.replace("2000", "\"2s\""));

    assertSingleFinding(
        "services/desk.json/timeoutMillis",
        ResultCode.CONFIGURATION_BAD_VALUE,
        "milliseconds from 1 to 600000");
  }

  @Test
  void reportsValueOutOfBounds() throws IOException {
    write("services/desk.json", SERVICE.replace("60", "160"));

    assertThat(check().getLeft().map(Finding::code))
        .containsExactly(ResultCode.CONFIGURATION_BAD_VALUE);
  }

  @Test
  void reportsDuplicateNameOnLaterObject() throws IOException {
    write("services/other.json", "[" + SERVICE + "]");

    assertSingleFinding(
        "services/other.json/0/name", ResultCode.CONFIGURATION_DUPLICATE_NAME, "another name");
  }

  @Test
  void reportsDuplicateKeyHash() throws IOException {
    write("keys/l.json", KEY.replace("\"k\"", "\"l\""));

    assertSingleFinding(
        "keys/l.json/sha256Hex", ResultCode.CONFIGURATION_DUPLICATE_NAME, "a key of its own");
  }

  @Test
  void reportsBrokenReferenceInList() throws IOException {
    write(
        "routes/desk.json",
        "{\"name\":\"desk\",\"pathPrefix\":\"/desk\",\"service\":\"desk\","
            + "\"customers\":[\"clinic\",\"nobody\"]}");

    assertSingleFinding(
        "routes/desk.json/customers/1", ResultCode.CONFIGURATION_BROKEN_REFERENCE, "customers/");
  }

  @Test
  void reportsCycleOfDefaultsOnEachService() throws IOException {
    write("services/desk.json", SERVICE.replace("}", ",\"defaultsFrom\":\"office\"}"));
    write("services/office.json", "{\"name\":\"office\",\"defaultsFrom\":\"desk\"}");

    assertThat(check().getLeft().map(Finding::code))
        .containsExactly(ResultCode.CONFIGURATION_CYCLE, ResultCode.CONFIGURATION_CYCLE);
    assertThat(check().getLeft().head().problem()).contains("desk -> office -> desk");
  }

  @Test
  void serviceInheritsMissingFields() throws IOException {
    write(
        "services/office.json",
        "{\"name\":\"office\",\"minBackendServers\":12,\"defaultsFrom\":\"desk\"}");

    var office = check().get().services().get(new ServiceId("office")).get();
    assertThat(office.minBackendServers()).isEqualTo(12);
    assertThat(office.timeoutMillis()).isEqualTo(2_000);
  }

  @Test
  void reportsFloorBrokenByOneUnhealthyServer() throws IOException {
    write("services/desk.json", SERVICE.replace("60", "95"));

    assertSingleFinding(
        "services/desk.json/floorPercent",
        ResultCode.CONFIGURATION_FLOOR_UNREACHABLE,
        "to 88 or less");
  }

  @Test
  void reportsFloorWhenEveryFailureDomainIsOut() throws IOException {
    write(
        "failure-domains/a.json",
        "{\"name\":\"kgn-a\",\"region\":\"jm-south\",\"inService\":false}");

    assertSingleFinding(
        "services/desk.json/floorPercent",
        ResultCode.CONFIGURATION_FLOOR_UNREACHABLE,
        "leave a failure domain");
  }

  @Test
  void reportsRoutesThatDifferOnlyInTrailingSlash() throws IOException {
    write("routes/other.json", "{\"name\":\"o\",\"pathPrefix\":\"/desk/\",\"service\":\"desk\"}");

    assertSingleFinding(
        "routes/other.json/pathPrefix", ResultCode.CONFIGURATION_AMBIGUOUS_ROUTE, "another prefix");
  }

  @Test
  void reportsOpenRouteThatNamesCustomers() throws IOException {
    write(
        "routes/desk.json",
        "{\"name\":\"desk\",\"pathPrefix\":\"/desk\",\"service\":\"desk\",\"openToAll\":true,"
            + "\"customers\":[\"clinic\"]}");

    assertSingleFinding(
        "routes/desk.json/customers", ResultCode.CONFIGURATION_BAD_VALUE, "remove customers");
  }

  @Test
  void reportsFolderWithoutObjects() {
    var nothing = ConfigurationChecker.check(ConfigurationFolder.read(folder.resolve("none")));

    assertThat(nothing.getLeft().map(Finding::code))
        .containsExactly(ResultCode.CONFIGURATION_NOTHING_FOUND);
  }

  @Test
  void reportsAllFindingsInFileOrder() throws IOException {
    write("customers/clinic.json", "{\"name\":\"clinic\",\"rate\":2}");
    write("routes/x.json", "{");
    write("services/desk.json", SERVICE.replace("2000", "0"));

    assertThat(check().getLeft().map(finding -> finding.code().number()))
        .containsExactly(5003, 5003, 5002, 5001, 5004);
  }
}
