import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: maps, lists, strings, numbers, booleans and null. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.blanks();
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(Object value) {
    return (Map<String, Object>) value;
  }

  @SuppressWarnings("unchecked")
  static List<Object> list(Object value) {
    return value == null ? List.of() : (List<Object>) value;
  }

  static Map<String, Object> of(Object... pairs) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      map.put((String) pairs[i], pairs[i + 1]);
    }
    return map;
  }

  static long number(Object value, long otherwise) {
    return value instanceof Number n ? n.longValue() : otherwise;
  }

  private void blanks() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private Object value() {
    blanks();
    char c = text.charAt(at);
    switch (c) {
      case '{' -> {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        blanks();
        while (text.charAt(at) != '}') {
          blanks();
          String key = string();
          blanks();
          at++;
          map.put(key, value());
          blanks();
          if (text.charAt(at) == ',') {
            at++;
            blanks();
          }
        }
        at++;
        return map;
      }
      case '[' -> {
        List<Object> list = new ArrayList<>();
        at++;
        blanks();
        while (text.charAt(at) != ']') {
          list.add(value());
          blanks();
          if (text.charAt(at) == ',') {
            at++;
            blanks();
          }
        }
        at++;
        return list;
      }
      case '"' -> {
        return string();
      }
      case 't' -> {
        at += 4;
        return true;
      }
      case 'f' -> {
        at += 5;
        return false;
      }
      case 'n' -> {
        at += 4;
        return null;
      }
      default -> {
        int start = at;
        while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) {
          at++;
        }
        String number = text.substring(start, at);
        return number.matches("-?\\d+") ? (Object) Long.valueOf(number) : Double.valueOf(number);
      }
    }
  }

  private String string() {
    StringBuilder out = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char escape = text.charAt(at++);
      switch (escape) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> out.append(escape);
      }
    }
    at++;
    return out.toString();
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      out.append('{');
      String separator = "";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(separator);
        write(entry.getKey(), out);
        out.append(':');
        write(entry.getValue(), out);
        separator = ",";
      }
      out.append('}');
    } else if (value instanceof List<?> list) {
      out.append('[');
      String separator = "";
      for (Object element : list) {
        out.append(separator);
        write(element, out);
        separator = ",";
      }
      out.append(']');
    } else if (value instanceof String string) {
      out.append('"');
      for (int i = 0; i < string.length(); i++) {
        char c = string.charAt(i);
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < ' ') {
          out.append(String.format("\\u%04x", (int) c));
        } else {
          out.append(c);
        }
      }
      out.append('"');
    } else {
      out.append(value);
    }
  }
}
