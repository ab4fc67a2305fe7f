package reviewkit;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads the few flat JSON objects that nodes send to the store. */
final class Json {
  private static final Pattern OBJECT = Pattern.compile("\\{[^{}]*}");

  private Json() {}

  /** Returns the flat objects of the array with the given name. */
  static List<String> objects(String json, String arrayName) {
    Matcher array =
        Pattern.compile("\"" + arrayName + "\"\\s*:\\s*\\[([^\\]]*)]").matcher(json);
    List<String> found = new ArrayList<>();
    if (!array.find()) {
      return found;
    }
    Matcher object = OBJECT.matcher(array.group(1));
    while (object.find()) {
      found.add(object.group());
    }
    return found;
  }

  /** Returns the text or number of a field. */
  static String field(String object, String name) {
    Matcher matcher =
        Pattern.compile("\"" + name + "\"\\s*:\\s*(?:\"([^\"]*)\"|(-?[0-9]+))").matcher(object);
    if (!matcher.find()) {
      return "";
    }
    return matcher.group(1) != null ? matcher.group(1) : matcher.group(2);
  }
}
