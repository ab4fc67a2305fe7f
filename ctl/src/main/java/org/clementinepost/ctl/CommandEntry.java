package org.clementinepost.ctl;

import io.vavr.collection.Vector;
import java.util.Locale;

/**
 * Name, arguments and action of a command.
 *
 * @param words the words of its name on the command line
 * @param arguments the names of the arguments that follow
 * @param summary the description, in one line
 * @param needsPlatform whether it connects to the platform
 * @param command the action
 */
record CommandEntry(
    Vector<String> words,
    Vector<String> arguments,
    String summary,
    boolean needsPlatform,
    Command command) {

  static CommandEntry local(String text, String summary, Command command) {
    return of(text, summary, false, command);
  }

  static CommandEntry remote(String text, String summary, Command command) {
    return of(text, summary, true, command);
  }

  private static CommandEntry of(
      String text, String summary, boolean needsPlatform, Command command) {
    Vector<String> all = Vector.of(text.split(" ", -1));
    Vector<String> words = all.takeWhile(word -> word.equals(word.toLowerCase(Locale.ROOT)));
    return new CommandEntry(words, all.drop(words.size()), summary, needsPlatform, command);
  }

  boolean matches(Vector<String> commandLine) {
    return commandLine.startsWith(words);
  }

  boolean hasExpectedArgumentCount(Vector<String> commandLine) {
    return commandLine.size() == words.size() + arguments.size();
  }

  String usage() {
    return words.appendAll(arguments).mkString(" ");
  }
}
