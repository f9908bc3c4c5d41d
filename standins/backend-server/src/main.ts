import { command, flag, number, option, optional, run, string } from 'cmd-ts'
import { makeBackendConfig } from './BackendConfig'
import { startBackendServer } from './startBackendServer'

/** Exit code after a crash, whether commanded or caused by a request. */
const CRASH_EXIT_CODE = 70

const program = command({
  name: 'standin-backend-server',
  description: 'Stand-in of a backend server, for tests and the demo',
  args: {
    service: option({ long: 'service', type: string, defaultValue: () => 'stock' }),
    port: option({ long: 'port', type: number, defaultValue: () => 0 }),
    controlPort: option({ long: 'control-port', type: number, defaultValue: () => 0 }),
    admin: option({ long: 'admin-address', type: optional(string) }),
    slots: option({ long: 'slots', type: number, defaultValue: () => 4 }),
    serviceTime: option({ long: 'service-time-ms', type: number, defaultValue: () => 5 }),
    warmRuns: option({ long: 'warm-runs', type: number, defaultValue: () => 0 }),
    crashesWhenOverloaded: flag({ long: 'falls-over' }),
    seed: option({ long: 'seed', type: number, defaultValue: () => 1 })
  },
  handler: async ({ service, port, controlPort, admin, slots, serviceTime, warmRuns, crashesWhenOverloaded, seed }) => {
    const server = await startBackendServer({
      config: makeBackendConfig({
        service, slots, serviceTimeMs: serviceTime, warmRuns, crashesWhenOverloaded, seed
      }),
      port,
      controlPort,
      adminAddress: admin,
      onEnd: (reason) => { process.exit(reason === 'left' ? 0 : CRASH_EXIT_CODE) }
    })
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.on(signal, () => { server.dispatch({ type: 'leaveCommanded' }) })
    }
    process.stdout.write(`${JSON.stringify({ address: server.address, controlAddress: server.controlAddress })}\n`)
  }
})

void run(program, process.argv.slice(2))
