import basaltport.main as main

main.run()
