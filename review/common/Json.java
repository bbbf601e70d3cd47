import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small reader and writer of JSON: maps, lists, strings, numbers (Long or Double), booleans and null. */
final class Json {
    private final String text;
    private int at = 0;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.at != text.length()) throw new IllegalArgumentException("text after JSON at " + json.at);
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') return map();
        if (c == '[') return list();
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && ",]}".indexOf(text.charAt(at)) < 0 && !Character.isWhitespace(text.charAt(at))) at++;
        String word = text.substring(start, at);
        switch (word) {
            case "true": return true;
            case "false": return false;
            case "null": return null;
            default: return word.matches("-?\\d+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
        }
    }

    private Map<String, Object> map() {
        Map<String, Object> result = new LinkedHashMap<>();
        at++;
        space();
        if (text.charAt(at) == '}') {
            at++;
            return result;
        }
        while (true) {
            space();
            String key = string();
            space();
            at++;
            result.put(key, value());
            space();
            if (text.charAt(at++) == '}') return result;
        }
    }

    private List<Object> list() {
        List<Object> result = new ArrayList<>();
        at++;
        space();
        if (text.charAt(at) == ']') {
            at++;
            return result;
        }
        while (true) {
            result.add(value());
            space();
            if (text.charAt(at++) == ']') return result;
        }
    }

    private String string() {
        int end = at + 1;
        while (text.charAt(end) != '"' && text.charAt(end) != '\\') end++;
        if (text.charAt(end) == '"') {
            String plain = text.substring(at + 1, end);
            at = end + 1;
            return plain;
        }
        StringBuilder out = new StringBuilder();
        at++;
        while (true) {
            char c = text.charAt(at++);
            if (c == '"') return out.toString();
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char e = text.charAt(at++);
            switch (e) {
                case 'n': out.append('\n'); break;
                case 'r': out.append('\r'); break;
                case 't': out.append('\t'); break;
                case 'b': out.append('\b'); break;
                case 'f': out.append('\f'); break;
                case 'u':
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                    break;
                default: out.append(e);
            }
        }
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map) {
            String comma = "{";
            for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) {
                out.append(comma);
                write(entry.getKey().toString(), out);
                out.append(':');
                write(entry.getValue(), out);
                comma = ",";
            }
            out.append(comma.equals("{") ? "{}" : "}");
        } else if (value instanceof List) {
            String comma = "[";
            for (Object each : (List<?>) value) {
                out.append(comma);
                write(each, out);
                comma = ",";
            }
            out.append(comma.equals("[") ? "[]" : "]");
        } else if (value instanceof String) {
            out.append('"');
            String text = (String) value;
            for (int i = 0; i < text.length(); i++) {
                char c = text.charAt(i);
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}
