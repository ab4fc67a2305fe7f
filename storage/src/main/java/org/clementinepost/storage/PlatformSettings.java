package org.clementinepost.storage;

import java.util.Objects;

/**
 * Addresses, names, timeouts and connection limit of the platform's clients.
 *
 * @param tableUrl the root URL of the table service, such as {@code http://10.0.0.1:8000}
 * @param objectsUrl the root URL of the object store
 * @param tableName the table that holds the fleet's items
 * @param bucketName the bucket that holds the fleet's objects
 * @param connectTimeoutMillis the timeout for opening a connection
 * @param requestTimeoutMillis the timeout of a request, including the wait for a connection
 * @param maxConnections the maximum number of connections to each of the two services
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

  /** Builds the settings of the platform's clients. */
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

    /** Sets the same root URL for the table service and the object store. */
    public Builder url(String value) {
      return tableUrl(value).objectsUrl(value);
    }

    /** Sets the root URL of the table service. */
    public Builder tableUrl(String value) {
      tableUrl = value;
      return this;
    }

    /** Sets the root URL of the object store. */
    public Builder objectsUrl(String value) {
      objectsUrl = value;
      return this;
    }

    /** Sets the table that holds the fleet's items. */
    public Builder tableName(String value) {
      tableName = value;
      return this;
    }

    /** Sets the bucket that holds the fleet's objects. */
    public Builder bucketName(String value) {
      bucketName = value;
      return this;
    }

    /** Sets the timeout for opening a connection. */
    public Builder connectTimeoutMillis(int value) {
      connectTimeoutMillis = value;
      return this;
    }

    /** Sets the timeout of a request, including the wait for a connection. */
    public Builder requestTimeoutMillis(long value) {
      requestTimeoutMillis = value;
      return this;
    }

    /** Sets the maximum number of connections to each of the two services. */
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
