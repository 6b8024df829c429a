import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers, booleans and null. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  /** Parses a JSON value. */
  static Object parse(String text) {
    Json parser = new Json(text);
    Object value = parser.value();
    parser.skipSpace();
    if (parser.at != text.length()) {
      throw new IllegalArgumentException("trailing input at " + parser.at);
    }
    return value;
  }

  /** Parses a JSON object. */
  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  /** Returns a list of objects in a field; an empty list if the field is missing. */
  @SuppressWarnings("unchecked")
  static List<Map<String, Object>> objects(Map<String, Object> json, String field) {
    Object value = json.get(field);
    return value == null ? List.of() : (List<Map<String, Object>>) value;
  }

  private void skipSpace() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private char next() {
    skipSpace();
    return text.charAt(at);
  }

  private void expect(char c) {
    if (next() != c) {
      throw new IllegalArgumentException("expected " + c + " at " + at);
    }
    at++;
  }

  private Object value() {
    return switch (next()) {
      case '{' -> objectValue();
      case '[' -> listValue();
      case '"' -> string();
      case 't' -> literal("true", true);
      case 'f' -> literal("false", false);
      case 'n' -> literal("null", null);
      default -> number();
    };
  }

  private Object literal(String word, Object value) {
    if (!text.startsWith(word, at)) {
      throw new IllegalArgumentException("unexpected input at " + at);
    }
    at += word.length();
    return value;
  }

  private Map<String, Object> objectValue() {
    Map<String, Object> map = new LinkedHashMap<>();
    expect('{');
    while (next() != '}') {
      String key = string();
      expect(':');
      map.put(key, value());
      if (next() == ',') {
        at++;
      }
    }
    at++;
    return map;
  }

  private List<Object> listValue() {
    List<Object> list = new ArrayList<>();
    expect('[');
    while (next() != ']') {
      list.add(value());
      if (next() == ',') {
        at++;
      }
    }
    at++;
    return list;
  }

  private String string() {
    expect('"');
    StringBuilder out = new StringBuilder();
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char escaped = text.charAt(at++);
      switch (escaped) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> out.append(escaped);
      }
    }
    at++;
    return out.toString();
  }

  private Object number() {
    int start = at;
    while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
    String digits = text.substring(start, at);
    if (digits.isEmpty()) {
      throw new IllegalArgumentException("unexpected input at " + start);
    }
    if (digits.contains(".") || digits.contains("e") || digits.contains("E")) {
      return Double.parseDouble(digits);
    }
    return Long.parseLong(digits);
  }

  /** Writes a value as JSON. */
  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    switch (value) {
      case null -> out.append("null");
      case String string -> writeString(string, out);
      case Map<?, ?> map -> {
        String separator = "{";
        for (Map.Entry<?, ?> entry : map.entrySet()) {
          out.append(separator);
          writeString(entry.getKey().toString(), out);
          out.append(':');
          write(entry.getValue(), out);
          separator = ",";
        }
        out.append(map.isEmpty() ? "{}" : "}");
      }
      case List<?> list -> {
        String separator = "[";
        for (Object element : list) {
          out.append(separator);
          write(element, out);
          separator = ",";
        }
        out.append(list.isEmpty() ? "[]" : "]");
      }
      default -> out.append(value);
    }
  }

  private static void writeString(String string, StringBuilder out) {
    out.append('"');
    for (char c : string.toCharArray()) {
      switch (c) {
        case '"' -> out.append("\\\"");
        case '\\' -> out.append("\\\\");
        case '\n' -> out.append("\\n");
        case '\r' -> out.append("\\r");
        case '\t' -> out.append("\\t");
        default -> {
          if (c < ' ') {
            out.append(String.format("\\u%04x", (int) c));
          } else {
            out.append(c);
          }
        }
      }
    }
    out.append('"');
  }
}
