package org.clementinepost.storage;

import reactor.core.Disposable;

/** The clients of both halves of the platform, with the connections that they hold open. */
public final class HttpPlatform implements Disposable {
  private static final int MAX_TABLE_RESPONSE_BYTES = 8 * 1_024 * 1_024;
  private static final int MAX_OBJECT_BYTES = 64 * 1_024 * 1_024;

  private final PlatformHttpClient tableClient;
  private final PlatformHttpClient objectsClient;
  private final Platform platform;

  private HttpPlatform(PlatformSettings settings) {
    tableClient =
        new PlatformHttpClient(
            "platform-table", settings.tableUrl(), MAX_TABLE_RESPONSE_BYTES, settings);
    objectsClient =
        new PlatformHttpClient(
            "platform-objects", settings.objectsUrl(), MAX_OBJECT_BYTES, settings);
    platform =
        new Platform(
            new HttpTableService(tableClient, settings.tableName()),
            new HttpObjectStore(objectsClient, settings.bucketName()));
  }

  /** Creates clients; connections are opened at the first request. */
  public static HttpPlatform of(PlatformSettings settings) {
    return new HttpPlatform(settings);
  }

  /** Both halves of the platform. */
  public Platform platform() {
    return platform;
  }

  /** Closes the connections. */
  @Override
  public void dispose() {
    tableClient.dispose();
    objectsClient.dispose();
  }
}
