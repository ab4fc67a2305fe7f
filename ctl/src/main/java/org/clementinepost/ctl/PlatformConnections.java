package org.clementinepost.ctl;

import org.clementinepost.storage.HttpPlatform;
import org.clementinepost.storage.Platform;
import org.clementinepost.storage.PlatformSettings;
import reactor.core.Disposable;

/**
 * Connections to the platform, held by one command.
 *
 * @param platform the platform
 * @param connections closes the connections
 */
record PlatformConnections(Platform platform, Disposable connections) {
  static PlatformConnections open(String url) {
    HttpPlatform http = HttpPlatform.of(PlatformSettings.builder().url(url).build());
    return new PlatformConnections(http.platform(), http);
  }

  void close() {
    connections.dispose();
  }
}
