package org.clementinepost.node.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.ServiceId;
import org.clementinepost.policy.quota.EmergencyAllowance;
import org.clementinepost.policy.routing.RetryBound;
import org.clementinepost.storage.PlatformSettings;

/** Reads and validates the settings file. */
public final class NodeSettingsReader {
  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

  private static final double MILLIS_PER_SECOND = 1_000;

  private NodeSettingsReader() {}

  /** Reads a file; returns the settings, or all findings if the file is invalid. */
  public static Either<Vector<SettingsFinding>, NodeSettings> read(Path file) {
    try {
      return parse(Files.readString(file));
    } catch (IOException e) {
      return unreadable(String.valueOf(e.getMessage()));
    }
  }

  /** Parses JSON text; returns the settings, or all findings if the text is invalid. */
  public static Either<Vector<SettingsFinding>, NodeSettings> parse(String json) {
    try {
      JsonNode root = MAPPER.readTree(json);
      if (root == null || !root.isObject()) {
        return unreadable("the file contains no JSON object");
      }
      SettingsDocument document = new SettingsDocument(root);
      Vector<SettingsFinding> findings = document.findings();
      return findings.isEmpty() ? Either.right(toSettings(document)) : Either.left(findings);
    } catch (IOException e) {
      return unreadable(firstLine(String.valueOf(e.getMessage())));
    }
  }

  private static String firstLine(String text) {
    int end = text.indexOf('\n');
    return end < 0 ? text : text.substring(0, end);
  }

  private static Either<Vector<SettingsFinding>, NodeSettings> unreadable(String hint) {
    return Either.left(
        Vector.of(new SettingsFinding(ResultCode.SETTINGS_UNREADABLE, "(file)", hint)));
  }

  private static NodeSettings toSettings(SettingsDocument document) {
    return new NodeSettings(
        new NodeId(document.text(SettingsCatalog.NODE_ID)),
        new FailureDomainId(document.text(SettingsCatalog.FAILURE_DOMAIN)),
        document.address(SettingsCatalog.INGRESS),
        document.address(SettingsCatalog.PEER),
        document.address(SettingsCatalog.ANNOUNCE),
        document.address(SettingsCatalog.OPERATOR),
        platformSettings(document),
        Option.some(document.text(SettingsCatalog.PLATFORM_OBJECTS_FOLDER))
            .filter(folder -> !folder.isEmpty()),
        Option.when(
            document.isSet(SettingsCatalog.ROW_STORE_ADDRESS),
            () -> document.address(SettingsCatalog.ROW_STORE_ADDRESS)),
        Option.some(document.text(SettingsCatalog.LOCAL_SERVICE))
            .filter(name -> !name.isEmpty())
            .map(ServiceId::new),
        Option.when(
            document.isSet(SettingsCatalog.LOCAL_SERVER),
            () -> document.address(SettingsCatalog.LOCAL_SERVER)),
        document.integer(SettingsCatalog.KEY_WITHDRAWAL),
        new EmergencyAllowance(
            document.decimal(SettingsCatalog.QUOTA_TOLERATED_SHARE),
            document.integer(SettingsCatalog.QUOTA_TOLERATED_REQUESTS),
            document.integer(SettingsCatalog.QUOTA_WINDOW)),
        new RetryBound(
            document.decimal(SettingsCatalog.RETRY_FRACTION),
            document.decimal(SettingsCatalog.RETRY_BURST)),
        document.integer(SettingsCatalog.SHUTDOWN_DELAY),
        (int) document.integer(SettingsCatalog.CONNECTIONS_PER_SERVER),
        edgeLimits(document),
        Math.round(document.decimal(SettingsCatalog.STOP_GRACE) * MILLIS_PER_SECOND),
        loadSettings(document));
  }

  private static LoadSettings loadSettings(SettingsDocument document) {
    return new LoadSettings(
        document.isTrue(SettingsCatalog.LOAD_QUERIES),
        document.isTrue(SettingsCatalog.LOAD_FAIR_QUEUE),
        document.isTrue(SettingsCatalog.LOAD_SECOND_ATTEMPTS),
        (int) document.integer(SettingsCatalog.LOAD_PIPELINED_REQUESTS));
  }

  private static NodeSettings.EdgeLimits edgeLimits(SettingsDocument document) {
    return new NodeSettings.EdgeLimits(
        (int) document.integer(SettingsCatalog.MAX_HEADER_BYTES),
        document.integer(SettingsCatalog.MAX_BODY_BYTES),
        document.integer(SettingsCatalog.IDLE_TIMEOUT),
        document.integer(SettingsCatalog.READ_TIMEOUT));
  }

  private static Option<PlatformSettings> platformSettings(SettingsDocument document) {
    if (document.isTrue(SettingsCatalog.PLATFORM_EMBEDDED)
        || document.isSet(SettingsCatalog.ROW_STORE_ADDRESS)) {
      return Option.none();
    }
    return Option.some(
        PlatformSettings.builder()
            .tableUrl(document.text(SettingsCatalog.PLATFORM_TABLE_URL))
            .objectsUrl(document.text(SettingsCatalog.PLATFORM_OBJECTS_URL))
            .tableName(document.text(SettingsCatalog.PLATFORM_TABLE_NAME))
            .bucketName(document.text(SettingsCatalog.PLATFORM_BUCKET_NAME))
            .requestTimeoutMillis(document.integer(SettingsCatalog.PLATFORM_REQUEST_TIMEOUT))
            .build());
  }
}
