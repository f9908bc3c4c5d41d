import { setTimeout as pause } from 'node:timers/promises'
import { hasTrouble, playCase } from '../lib-3/fleet.mjs'
import { startPoisonFleet } from '../lib-3/poison.mjs'

/** Longer than `stable_window`, so that a node that was started again is in touch. */
const SETTLE_MS = 4_000

await playCase(import.meta.url, async (fleet, record) => {
  const poison = await startPoisonFleet(fleet, record, {
    backAfterMs: 2_000,
    // The endpoint crashes before it answers.
    crash: ({ end }) => {
      setTimeout(end, 50)
      return true
    }
  })
  const stopLookups = poison.startLookups()
  await pause(1_000)
  for (const node of poison.nodes) {
    await poison.sendPoison(node)
    await pause(SETTLE_MS)
  }
  for (const node of poison.nodes) {
    if (hasTrouble) {
      record.say(`${node.name} is stopped with SIGTERM, and started again`)
      await node.end('SIGTERM')
      node.start()
      await node.waitUntilReady()
    }
    await pause(SETTLE_MS)
    for (let count = 0; count < 2; count++) {
      await poison.sendPoison(node)
      await pause(SETTLE_MS)
    }
  }
  stopLookups()
  return poison.judge()
})
