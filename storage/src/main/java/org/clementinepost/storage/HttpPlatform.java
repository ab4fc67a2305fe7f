package org.clementinepost.storage;

import reactor.core.Disposable;

/** Clients of the table service and the object store, with their connections. */
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

  /** Creates the clients; connections are opened by the first request. */
  public static HttpPlatform of(PlatformSettings settings) {
    return new HttpPlatform(settings);
  }

  /** Returns the clients of the table service and the object store. */
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
