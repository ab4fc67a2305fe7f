package org.clementinepost.node.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.nio.file.Files;
import java.nio.file.Path;
import org.clementinepost.api.Failure;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ResultCode;

/** Reads the settings file. */
public final class NodeSettingsReader {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int DEFAULT_CONNECTIONS_PER_SERVER = 350;

  private NodeSettingsReader() {}

  /** Reads and checks a file. */
  public static Either<Failure, NodeSettings> read(Path file) {
    return Try.of(() -> settings(MAPPER.readTree(Files.readAllBytes(file))))
        .toEither()
        .mapLeft(
            error -> Failure.of(ResultCode.SETTINGS_UNREADABLE, file + ": " + error.getMessage()));
  }

  private static NodeSettings settings(JsonNode root) {
    return new NodeSettings(
        new NodeId(text(root, "nodeId")),
        new FailureDomainId(text(root, "failureDomain")),
        address(root, "ingress"),
        address(root, "peer"),
        address(root, "announce"),
        address(root, "operator"),
        platform(root.path("platform")),
        root.path("connectionsPerServer").asInt(DEFAULT_CONNECTIONS_PER_SERVER));
  }

  private static Option<NodeSettings.PlatformAddress> platform(JsonNode node) {
    return node.isMissingNode()
        ? Option.none()
        : Option.some(
            new NodeSettings.PlatformAddress(text(node, "tableUrl"), text(node, "objectsUrl")));
  }

  private static NetworkAddress address(JsonNode root, String field) {
    return NetworkAddress.parse(text(root, field));
  }

  private static String text(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (!value.isTextual()) {
      throw new IllegalArgumentException(field + " is missing or not a text");
    }
    return value.asText();
  }
}
