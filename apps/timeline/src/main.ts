import { runProgram, timelineSettings } from '@lavenderturn/runtime'
import { runTimeline } from './runTimeline'

void runProgram({
  program: 'lavenderturn-timeline', description: 'Merges the journals of nodes', table: timelineSettings
}, async (settings) => {
  process.exitCode = await runTimeline(settings, (line) => { process.stdout.write(`${line}\n`) })
})
