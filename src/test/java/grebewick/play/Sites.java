package grebewick.play;

import grebewick.config.SettingsReader;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Settings;
import grebewick.core.CallControl.Stage;
import grebewick.json.Fields;
import java.util.Map;

/** Settings and list entries for scenarios: two pools, aim 2 s, release 500 ms. */
public final class Sites {
    public static final String SETTINGS = """
        {"Bounds":{"AttemptsCap":4,"Cancel":true,"ConnectTimeout":500000,"MaxOpen":100,"MaxRetryAfter":2000000,
          "RetryAfter":true},
         "FamilyInfo":{"MeanHold":[9300000],"PoolsByClass":[[0,1]],"Release":500000,"Resend":400000,"Shape":"pools"},
         "Grades":[{"Name":"a","GoalTime":2000000,"HardLimit":9000000,"LateValue":0.25}],"ReplicasOfMe":1,
         "Report":{"Fields":["free","size","can_take"],"How":"inline"},
         "Rules":{"Cold":10000000,"ColdFrom":0.3,"DrainGrace":2000000,"Fall":2000000,"OverloadFactor":3.0}}""";

    private Sites() {}

    public static Settings settings() {
        return settings(SETTINGS);
    }

    public static Settings settings(String json) {
        return SettingsReader.read(Fields.parse("settings", json));
    }

    public static ServerEntry entry(String id, int place, Stage stage, long startedAtUs) {
        return new ServerEntry(id, place, stage, startedAtUs, "m", "z" + place, 1);
    }

    /** The rest of a scenario's line as {@code key=value} pairs. */
    public static Map<String, String> options(String[] words, int from) {
        Map<String, String> result = new java.util.HashMap<>();
        for (int i = from; i < words.length; i++) {
            String[] pair = words[i].split("=", 2);
            result.put(pair[0], pair.length > 1 ? pair[1] : "");
        }
        return result;
    }
}
