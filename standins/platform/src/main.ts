import { command, number, option, run } from 'cmd-ts'
import { createConsola } from 'consola'
import { startPlatformStandin } from './startPlatformStandin'

const log = createConsola()

await run(command({
  name: 'standin-platform',
  description: 'Stand-in of the table service (DynamoDB JSON protocol) and the object store (S3 REST)',
  args: {
    port: option({ type: number, long: 'port', defaultValue: () => 0, description: 'port of both services' }),
    adminPort: option({ type: number, long: 'admin-port', defaultValue: () => 0, description: 'port for commands' })
  },
  handler: async (options) => {
    const standin = await startPlatformStandin(options)
    log.info('platform stand-in started', { endpoint: standin.endpoint, admin: standin.adminEndpoint })
    const stop = (): void => { void standin.close() }
    process.once('SIGTERM', stop)
    process.once('SIGINT', stop)
  }
}), process.argv.slice(2))
