package org.clementinepost.storage;

import java.util.Objects;

/**
 * How the platform is reached.
 *
 * @param tableUrl the root of the table service, such as {@code http://10.0.0.1:8000}
 * @param objectsUrl the root of the object store
 * @param tableName the table that holds the fleet's items
 * @param bucketName the bucket that holds the fleet's objects
 * @param connectTimeoutMillis how long a connection may take to open
 * @param requestTimeoutMillis how long a request may take, with its wait for a connection
 * @param maxConnections connections held open to each half of the platform
 */
public record PlatformSettings(
    String tableUrl,
    String objectsUrl,
    String tableName,
    String bucketName,
    int connectTimeoutMillis,
    long requestTimeoutMillis,
    int maxConnections) {

  public PlatformSettings {
    Objects.requireNonNull(tableUrl, "tableUrl");
    Objects.requireNonNull(objectsUrl, "objectsUrl");
    Objects.requireNonNull(tableName, "tableName");
    Objects.requireNonNull(bucketName, "bucketName");
    requirePositive(connectTimeoutMillis, "connectTimeoutMillis");
    requirePositive(requestTimeoutMillis, "requestTimeoutMillis");
    requirePositive(maxConnections, "maxConnections");
  }

  private static void requirePositive(long value, String name) {
    if (value <= 0) {
      throw new IllegalArgumentException(name + " must be positive: " + value);
    }
  }

  /** Creates a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the settings of the platform's clients. */
  public static final class Builder {
    private static final int DEFAULT_CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long DEFAULT_REQUEST_TIMEOUT_MILLIS = 3_000;
    private static final int DEFAULT_MAX_CONNECTIONS = 8;

    private String tableUrl;
    private String objectsUrl;
    private String tableName = "clementinepost";
    private String bucketName = "clementinepost";
    private int connectTimeoutMillis = DEFAULT_CONNECT_TIMEOUT_MILLIS;
    private long requestTimeoutMillis = DEFAULT_REQUEST_TIMEOUT_MILLIS;
    private int maxConnections = DEFAULT_MAX_CONNECTIONS;

    private Builder() {}

    /** The root of both halves, when they share one. */
    public Builder url(String value) {
      return tableUrl(value).objectsUrl(value);
    }

    /** The root of the table service. */
    public Builder tableUrl(String value) {
      tableUrl = value;
      return this;
    }

    /** The root of the object store. */
    public Builder objectsUrl(String value) {
      objectsUrl = value;
      return this;
    }

    /** The table that holds the fleet's items. */
    public Builder tableName(String value) {
      tableName = value;
      return this;
    }

    /** The bucket that holds the fleet's objects. */
    public Builder bucketName(String value) {
      bucketName = value;
      return this;
    }

    /** How long a connection may take to open. */
    public Builder connectTimeoutMillis(int value) {
      connectTimeoutMillis = value;
      return this;
    }

    /** How long a request may take. */
    public Builder requestTimeoutMillis(long value) {
      requestTimeoutMillis = value;
      return this;
    }

    /** Connections held open to each half of the platform. */
    public Builder maxConnections(int value) {
      maxConnections = value;
      return this;
    }

    /** Builds the settings. */
    public PlatformSettings build() {
      return new PlatformSettings(
          tableUrl,
          objectsUrl,
          tableName,
          bucketName,
          connectTimeoutMillis,
          requestTimeoutMillis,
          maxConnections);
    }
  }
}
