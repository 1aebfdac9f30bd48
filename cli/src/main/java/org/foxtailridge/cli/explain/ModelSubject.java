package org.foxtailridge.cli.explain;

import java.util.List;

/**
 * A model: orders about it, announcements that list it, and requests that ask for it.
 *
 * @param name name of the model, without its service
 */
record ModelSubject(String name) implements Subject {
    @Override
    public String description() {
        return "model " + name;
    }

    @Override
    public List<LogLine> select(List<LogLine> lines) {
        return lines.stream().filter(this::names).toList();
    }

    private boolean names(LogLine line) {
        String model = line.text("model");
        return model.equals(name)
                || model.endsWith("/" + name)
                || model.contains("[model=" + name + ",")
                || line.text("models").contains("[name=" + name + ",");
    }
}
