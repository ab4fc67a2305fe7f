package org.clementinepost.ctl;

import io.vavr.collection.Vector;
import java.nio.file.Path;
import org.clementinepost.storage.Platform;
import org.clementinepost.storage.config.ConfigurationEditor;
import org.clementinepost.storage.config.ConfigurationPublisher;
import org.clementinepost.storage.config.ConfigurationStore;
import org.clementinepost.storage.config.PublicationStamp;

/**
 * Arguments, options and services of a command.
 *
 * @param arguments the arguments that follow the name of the command
 * @param options the options on the command line
 * @param platform the platform; null for commands that need none
 * @param nowMillis the current time, in ms since the epoch
 */
record CommandContext(
    Vector<String> arguments, CtlOptions options, Platform platform, long nowMillis) {

  String argument() {
    return arguments.head();
  }

  Path folder() {
    return Path.of(argument());
  }

  ConfigurationStore store() {
    return new ConfigurationStore(platform);
  }

  ConfigurationPublisher publisher() {
    return new ConfigurationPublisher(platform);
  }

  ConfigurationEditor editor() {
    return new ConfigurationEditor(platform, publisher());
  }

  PublicationStamp stamp(String defaultNote) {
    return PublicationStamp.of(
        options.operator(), nowMillis, options.note().getOrElse(defaultNote));
  }
}
